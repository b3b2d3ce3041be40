package budget

// Report contains the shares of a budget and what it allows now.
type Report struct {
	HedgeShare, RetryShare float64 // of the calls of the service
	Hedges, Retries        float64 // number that may start now
}

// Report returns the shares and the unspent hedges and retries.
func (b *Budget) Report() Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Report{
		HedgeShare: b.limits.HedgeBudget,
		RetryShare: b.limits.RetryBudget,
		Hedges:     b.hedges,
		Retries:    b.retries,
	}
}
