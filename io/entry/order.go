package entry

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"oriolebarrow/core"
	"oriolebarrow/core/order"
)

// tableFullRetry is the retry delay that a caller is given when no token can be issued.
const tableFullRetry = time.Second

// IssueToken returns a token for one order. If the token table can't issue one, it
// returns a refusal with the reason table_full.
func (e *Entry) IssueToken() core.OrderResult {
	token, ok := e.Tokens.Issue(time.Now())
	if !ok {
		return core.OrderResult{Outcome: core.NotRun, Reason: core.ReasonTableFull, RetryAfter: tableFullRetry}
	}
	return core.OrderResult{Outcome: core.NotRun, Token: token}
}

// Order runs an order at most once per token. If another host issued the token, that
// host runs the order. Without a token, Order issues one and does not run the order.
func (e *Entry) Order(ctx context.Context, token string, req core.RequestID, o core.Order, deadline time.Time) core.OrderResult {
	if token == "" {
		r := e.IssueToken()
		if r.Reason == "" {
			r.Reason = core.ReasonNoToken
		}
		return r
	}
	host, inc, err := order.Issuer(token)
	if err != nil {
		return core.OrderResult{Outcome: core.NotRun, Reason: core.ReasonTokenUnknown}
	}
	if host == e.Self {
		if inc != e.Incarnation {
			return core.OrderResult{Outcome: core.Unknown, Reason: core.ReasonIssuerGone}
		}
		return e.Redeem(ctx, token, req, o, deadline)
	}
	return e.forward(ctx, host, token, req, o, deadline)
}

// forward sends an order to the host that issued its token.
func (e *Entry) forward(ctx context.Context, issuer core.HostID, token string, req core.RequestID, o core.Order, deadline time.Time) core.OrderResult {
	unknown := core.OrderResult{Outcome: core.Unknown, Reason: core.ReasonIssuerGone}
	host, ok := e.locate(issuer)
	if !ok {
		return unknown
	}
	e.Log.Info("entry: order forwarded", "request_id", req, "service", o.Service, "host", issuer, "reason", "token_issuer")
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(-answerReserve))
	defer cancel()
	r, err := e.Peers.Redeem(ctx, host, token, req, o, deadline.Add(-answerReserve))
	if err != nil {
		// An earlier request with this token may have run the order, so the
		// outcome is never not_run here, even if this request was not sent.
		unknown.Reason = core.ReasonUnclear
		return unknown
	}
	return normalize(r)
}

// locate finds the host that issued a token. A leaving host is no longer in the
// view but still redeems its tokens, so locate also finds hosts outside the view
// if Views implements core.Locator.
func (e *Entry) locate(issuer core.HostID) (core.Host, bool) {
	if l, ok := e.Views.(core.Locator); ok {
		return l.Locate(issuer)
	}
	return e.Views.View(time.Now()).Lookup(issuer)
}

// normalize replaces a result whose outcome is invalid for orders by the outcome unknown.
func normalize(r core.OrderResult) core.OrderResult {
	switch r.Outcome {
	case core.Complete, core.NotRun, core.Unknown:
		return r
	default:
		return core.OrderResult{Outcome: core.Unknown, Reason: core.ReasonWrongAnswer}
	}
}

// Redeem runs the order of a token that this host issued, or returns the result of
// the order that the token has already started.
func (e *Entry) Redeem(ctx context.Context, token string, req core.RequestID, o core.Order, deadline time.Time) core.OrderResult {
	_, inc, err := order.Issuer(token)
	if err != nil || inc != e.Incarnation {
		return core.OrderResult{Outcome: core.Unknown, Reason: core.ReasonIssuerGone}
	}
	fingerprint := order.Fingerprint(o)
	for {
		decision := e.Tokens.Redeem(time.Now(), token, fingerprint)
		switch decision.Verdict {
		case order.Run:
			return e.runOrder(ctx, token, req, o, deadline)
		case order.Answer:
			return decision.Result
		case order.Mismatch:
			// The outcome is unknown, since this may be the same order in another
			// encoding, and the first request may have run it.
			return core.OrderResult{Outcome: core.Unknown, Reason: core.ReasonTokenDiffers}
		case order.NoEntry:
			return core.OrderResult{Outcome: core.Unknown, Reason: core.ReasonTokenExpired}
		}
		select {
		case <-decision.Ended:
		case <-ctx.Done():
			return core.OrderResult{Outcome: core.Unknown, Reason: core.ReasonDeadline}
		}
	}
}

// runOrder runs the order in the background, so that its result is stored for repeated
// requests even if the caller abandons this one.
func (e *Entry) runOrder(ctx context.Context, token string, req core.RequestID, o core.Order, deadline time.Time) core.OrderResult {
	done := make(chan core.OrderResult, 1)
	go func() {
		ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline.Add(-answerReserve))
		defer cancel()
		r := e.sendToOwner(ctx, token, req, o, deadline.Add(-answerReserve))
		e.Tokens.Finish(time.Now(), token, r)
		done <- r
	}()
	select {
	case r := <-done:
		return r
	case <-ctx.Done():
		return core.OrderResult{Outcome: core.Unknown, Reason: core.ReasonDeadline}
	}
}

// sendToOwner sends the order once, to the owner of the replica group of its key.
func (e *Entry) sendToOwner(ctx context.Context, token string, req core.RequestID, o core.Order, deadline time.Time) core.OrderResult {
	service, ok := e.Settings.Service(o.Service)
	if !ok || len(service.Groups()) == 0 {
		return core.OrderResult{Outcome: core.NotRun, Reason: core.ReasonUnknownService}
	}
	group := core.GroupID(xxhash.Sum64String(o.Key) % uint64(len(service.Groups())))
	view := e.Views.View(time.Now())
	owner, _ := e.Placer.Owner(view, o.Service, group)
	e.Log.Info("entry: order assigned to owner", "request_id", req, "service", o.Service, "group", group,
		"owner", owner, "view", view.Version(), "reason", "owner")
	if owner == e.Self {
		return e.Local.Order(ctx, core.OrderCall{
			OrderID: token, RequestID: req, Service: o.Service, Key: o.Key, Body: o.Body, Deadline: deadline,
		}, group)
	}
	host, ok := view.Lookup(owner)
	if !ok {
		return core.OrderResult{Outcome: core.NotRun, Reason: core.ReasonNoOwner}
	}
	r, err := e.Peers.Order(ctx, host, token, req, o, group, deadline)
	if err == nil {
		return normalize(r)
	}
	e.Log.Warn("entry: order call failed", "request_id", req, "owner", owner, "err", err)
	var call *core.CallError
	if errors.As(err, &call) && call.NotRun {
		return core.OrderResult{Outcome: core.NotRun, Reason: call.Reason}
	}
	return core.OrderResult{Outcome: core.Unknown, Reason: core.ReasonUnclear}
}
