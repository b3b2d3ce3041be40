package budget

// Report is what a budget allows at the moment.
type Report struct {
	HedgeShare, RetryShare float64 // of calls
	Hedges, Retries        float64 // that may start now
}

// Report returns the shares and what is left of them.
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
