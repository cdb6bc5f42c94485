package upstream

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"bramleystand.org/common/fence"
	"bramleystand.org/common/rank"
	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/exchange"
	"bramleystand.org/entry/internal/queue"
	"bramleystand.org/entry/internal/suspect"
	"bramleystand.org/entry/internal/ticket"
)

// Handle runs a request, or issues a ticket if only that is asked for, and returns the response.
func (u *Upstream) Handle(ctx context.Context, r *exchange.Request) *exchange.Response {
	now := time.Now()
	if _, ok := u.lease.FenceFor(now, u.spec.Name, r.Shard); !ok {
		return movedResponse()
	}
	if r.TicketOnly {
		return u.ticketResponse(now, r)
	}
	if r.Rank == rank.Confirmation {
		presented, err := parseTicket(r)
		if err != nil {
			return exchange.NotRunResponse(http.StatusBadRequest, err.Error())
		}
		return u.runConfirmation(ctx, r, presented)
	}
	active, refusal := u.startRequest(ctx, r)
	if refusal != nil {
		return refusal
	}
	return active.send(ctx)
}

// startRequest waits for a slot and checks the lease for the last time before the request is sent.
func (u *Upstream) startRequest(ctx context.Context, r *exchange.Request) (*activeRequest, *exchange.Response) {
	slot, verdict, refusal := u.acquireCheckedSlot(ctx, r)
	if refusal != nil {
		return nil, refusal
	}
	f, ok := u.beginRunning(r.Shard)
	if !ok {
		slot.Release(0)
		return nil, movedResponse()
	}
	return &activeRequest{
		upstream: u, slot: slot, request: r, fence: f, startedAt: time.Now(), exclusive: verdict == suspect.MustRunAlone,
	}, nil
}

// acquireCheckedSlot waits for a slot, an exclusive one for a request that is suspected of crashing servers. It checks
// the verdict on the request again once it has the slot, because another copy of the request may have crashed the
// server in the meantime.
func (u *Upstream) acquireCheckedSlot(ctx context.Context, r *exchange.Request) (*queue.Slot, suspect.Verdict, *exchange.Response) {
	f := suspect.Fingerprint(r.Fingerprint)
	for {
		verdict := u.suspects.VerdictOf(time.Now(), f)
		if verdict == suspect.Condemned {
			return nil, verdict, exchange.NotRunResponse(http.StatusUnprocessableEntity, "the request crashed the backend servers that ran it")
		}
		slot, refusal := u.acquireSlot(ctx, r, verdict == suspect.MustRunAlone)
		if refusal != nil {
			return nil, verdict, refusal
		}
		if u.suspects.VerdictOf(time.Now(), f) <= verdict {
			return slot, verdict, nil
		}
		slot.Release(0)
	}
}

// movedResponse returns the response to a request that the next leaseholder of the shard must run.
func movedResponse() *exchange.Response {
	r := exchange.NotRunResponse(http.StatusServiceUnavailable, "the key is moving to another backend server")
	r.Reroute = true
	return r
}

// parseTicket parses the ticket of a request and checks that it was issued for the service, shard and key.
func parseTicket(r *exchange.Request) (ticket.Ticket, error) {
	presented, err := ticket.Parse(r.Ticket)
	if err != nil {
		return ticket.Ticket{}, fmt.Errorf("header Bramley-Ticket: %w", err)
	}
	if err := presented.Validate(r.Service, r.Shard, r.Key); err != nil {
		return ticket.Ticket{}, fmt.Errorf("header Bramley-Ticket: %w", err)
	}
	return presented, nil
}

// ticketResponse returns the response to a request that asks only for a ticket.
func (u *Upstream) ticketResponse(now time.Time, r *exchange.Request) *exchange.Response {
	issued, ok := u.issueTicket(now, r)
	if !ok {
		return movedResponse()
	}
	response := exchange.NotRunResponse(http.StatusCreated, "ticket issued")
	response.Ticket = issued
	return response
}

// issueTicket returns the text of a new ticket, or false if the lease does not include the shard.
func (u *Upstream) issueTicket(now time.Time, r *exchange.Request) (string, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.tickets == nil {
		return "", false
	}
	issued, err := u.tickets.Issue(now, r.Shard, r.Key)
	if err != nil {
		return "", false
	}
	return issued.String(), true
}

// acquireSlot waits for a slot until the deadline passes, another leaseholder must run the request, or the queue
// refuses it.
func (u *Upstream) acquireSlot(ctx context.Context, r *exchange.Request, exclusive bool) (*queue.Slot, *exchange.Response) {
	shardCtx := u.waitContext(r.Shard)
	waitCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(shardCtx, cancel)
	defer stop()
	slot, err := u.queue.Acquire(waitCtx, queue.Request{Rank: r.Rank, Deadline: r.Deadline, Exclusive: exclusive})
	if err == nil {
		return slot, nil
	}
	var refusal *queue.RefusalError
	if errors.As(err, &refusal) {
		response := exchange.NotRunResponse(http.StatusServiceUnavailable, refusal.Reason.String())
		response.RetryAt = refusal.EarliestRetry
		return nil, response
	}
	if shardCtx.Err() != nil {
		return nil, movedResponse()
	}
	response := exchange.NotRunResponse(http.StatusServiceUnavailable, "no slot became free before the deadline")
	response.RetryAt = time.Now().Add(time.Second)
	return nil, response
}

// beginRunning checks the lease for the last time and counts the request as running. It returns false if the lease
// has ended or the server has failed.
func (u *Upstream) beginRunning(s shard.Shard) (fence.Fence, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	f, ok := u.lease.FenceFor(time.Now(), u.spec.Name, s)
	if !ok || f != u.fence || u.failed {
		return 0, false
	}
	u.running[s]++
	return f, true
}

// endRunning ends a request that beginRunning has counted. serviceTime is zero if the request was not sent.
func (u *Upstream) endRunning(r *exchange.Request, serviceTime time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := r.Shard
	if serviceTime > 0 {
		u.loadMeter.add(s, serviceTime)
		u.hotKeys.Add(time.Now(), r.Key, serviceTime)
	}
	if u.running[s]--; u.running[s] == 0 {
		delete(u.running, s)
	}
}
