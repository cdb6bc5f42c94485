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

// Handle runs a request and returns its answer.
func (u *Upstream) Handle(ctx context.Context, r *exchange.Request) *exchange.Response {
	now := time.Now()
	if _, ok := u.lease.Allowed(now, u.spec.Name, r.Shard); !ok {
		return moved()
	}
	if r.TicketOnly {
		return u.issue(now, r)
	}
	if r.Rank == rank.Confirmation {
		spent, err := parseTicket(r)
		if err != nil {
			return exchange.Refuse(http.StatusBadRequest, err.Error())
		}
		return u.confirm(ctx, r, spent)
	}
	run, refusal := u.start(ctx, r)
	if refusal != nil {
		return refusal
	}
	return run.send(ctx)
}

// start waits for a slot and checks the lease for the last time.
func (u *Upstream) start(ctx context.Context, r *exchange.Request) (*run, *exchange.Response) {
	slot, verdict, refusal := u.admit(ctx, r)
	if refusal != nil {
		return nil, refusal
	}
	f, ok := u.enter(r.Shard)
	if !ok {
		slot.Release(0)
		return nil, moved()
	}
	return &run{
		upstream: u, slot: slot, request: r, fence: f, started: time.Now(), alone: verdict == suspect.Alone,
	}, nil
}

// admit waits for a slot of the kind that the verdict on the request asks for. The
// verdict is looked at again once there is a slot: while the request waited,
// another copy of it may have broken the server.
func (u *Upstream) admit(ctx context.Context, r *exchange.Request) (*queue.Slot, suspect.Verdict, *exchange.Response) {
	f := suspect.Fingerprint(r.Fingerprint)
	for {
		verdict := u.suspects.Check(time.Now(), f)
		if verdict == suspect.Condemned {
			return nil, verdict, exchange.Refuse(http.StatusUnprocessableEntity, "the request broke the backend servers that ran it")
		}
		slot, refusal := u.acquire(ctx, r, verdict == suspect.Alone)
		if refusal != nil {
			return nil, verdict, refusal
		}
		if u.suspects.Check(time.Now(), f) <= verdict {
			return slot, verdict, nil
		}
		slot.Release(0)
	}
}

func moved() *exchange.Response {
	r := exchange.Refuse(http.StatusServiceUnavailable, "the key is moving to another backend server")
	r.Moved = true
	return r
}

func parseTicket(r *exchange.Request) (ticket.Ticket, error) {
	spent, err := ticket.Parse(r.Ticket)
	if err != nil {
		return ticket.Ticket{}, fmt.Errorf("header Bramley-Ticket: %w", err)
	}
	if err := spent.Check(r.Service, r.Shard, r.Key); err != nil {
		return ticket.Ticket{}, fmt.Errorf("header Bramley-Ticket: %w", err)
	}
	return spent, nil
}

func (u *Upstream) issue(now time.Time, r *exchange.Request) *exchange.Response {
	issued, ok := u.newTicket(now, r)
	if !ok {
		return moved()
	}
	response := exchange.Refuse(http.StatusCreated, "ticket issued")
	response.Ticket = issued
	return response
}

func (u *Upstream) newTicket(now time.Time, r *exchange.Request) (string, bool) {
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

// acquire waits for a slot until the deadline, the end of the lease or a refusal.
func (u *Upstream) acquire(ctx context.Context, r *exchange.Request, alone bool) (*queue.Slot, *exchange.Response) {
	usable := u.wait(r.Shard)
	waiting, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(usable, cancel)
	defer stop()
	slot, err := u.queue.Acquire(waiting, queue.Request{Rank: r.Rank, Deadline: r.Deadline, Exclusive: alone})
	if err == nil {
		return slot, nil
	}
	var refusal *queue.RefusalError
	if errors.As(err, &refusal) {
		response := exchange.Refuse(http.StatusServiceUnavailable, refusal.Reason.String())
		response.RetryAt = refusal.RetryAfter
		return nil, response
	}
	if usable.Err() != nil {
		return nil, moved()
	}
	response := exchange.Refuse(http.StatusServiceUnavailable, "no slot became free before the deadline")
	response.RetryAt = time.Now().Add(time.Second)
	return nil, response
}

// enter checks the lease for the last time and counts the request as running.
func (u *Upstream) enter(s shard.Shard) (fence.Fence, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	f, ok := u.lease.Allowed(time.Now(), u.spec.Name, s)
	if !ok || f != u.fence || u.failed {
		return 0, false
	}
	u.running[s]++
	return f, true
}

// leave ends a request that enter has counted; service is zero if it was not sent.
func (u *Upstream) leave(r *exchange.Request, service time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := r.Shard
	if service > 0 {
		u.loads.add(s, service)
		u.hot.Add(time.Now(), r.Key, service)
	}
	if u.running[s]--; u.running[s] == 0 {
		delete(u.running, s)
	}
}
