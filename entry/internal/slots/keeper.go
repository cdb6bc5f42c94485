// Package slots gives out the slots of backend servers to all entry processes.
//
// Each server has a keeper among the entry processes of its data centre. A process asks the
// keeper for a slot, sends the request itself and gives the slot back; bodies never pass through
// the keeper. So slots are used exactly and urgent work goes first although every process sends,
// and a keeper that is lost costs a moment of exactness and no request: the processes then use a
// share of the slots each, until another keeper takes its place.
//
// # Usage
//
//	keeper := slots.NewKeeper()
//	gate := slots.New(self, keeper, peers, members, logger)
//	slot, err := gate.Acquire(ctx, admission)
//	defer slot.Release(service)
package slots

import (
	"context"
	"sync"
	"time"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/admission"
)

const (
	// expireInterval is the time between two looks at requests that wait.
	expireInterval = 10 * time.Millisecond
	// unusedTime is how long the scheduler of a server without requests is kept.
	unusedTime = 30 * time.Second
)

// Keeper holds the slots of the servers that this process keeps. It is safe for concurrent use;
// replies are made without its lock.
type Keeper struct {
	// wake tells Run that a request has begun to wait.
	wake chan struct{}

	mu       sync.Mutex
	servers  map[registry.Life]*kept
	requests map[ticket]placed
}

// placed is a request with the server whose slot it has or waits for.
type placed struct {
	request *admission.Request
	server  registry.Life
}

// kept is a server with its scheduler.
type kept struct {
	scheduler *admission.Scheduler
	used      time.Time
}

// ticket names a request of a process.
type ticket struct {
	client *client
	number uint64
}

// client is a process that asks.
type client struct {
	reply func(reply)
}

// NewKeeper returns a keeper without servers.
func NewKeeper() *Keeper {
	return &Keeper{wake: make(chan struct{}, 1), servers: make(map[registry.Life]*kept), requests: make(map[ticket]placed)}
}

// Run refuses requests that have waited too long, until the context ends. It sleeps while
// nothing waits, because each wake-up takes processor time.
func (k *Keeper) Run(ctx context.Context) {
	timer := time.NewTimer(unusedTime)
	defer timer.Stop()
	waiting := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.wake:
			// Requests that come one after the other must not put the next look off.
			if !waiting {
				waiting = true
				timer.Reset(expireInterval)
			}
		case now := <-timer.C:
			waiting = k.expire(now)
			if waiting {
				timer.Reset(expireInterval)
			} else {
				timer.Reset(unusedTime)
			}
		}
	}
}

// expire refuses requests and forgets servers that are due; it reports whether requests wait.
func (k *Keeper) expire(now time.Time) bool {
	k.mu.Lock()
	waiting := false
	var due []answer
	for l, s := range k.servers {
		if s.scheduler.Waiting() {
			due = append(due, k.answers(now, s, s.scheduler.Expire(now))...)
			waiting = waiting || s.scheduler.Waiting()
		} else if s.scheduler.Idle() && now.Sub(s.used) > unusedTime {
			delete(k.servers, l)
		}
	}
	k.mu.Unlock()
	send(due)
	return waiting
}

// answer is a reply with the process that gets it.
type answer struct {
	to    *client
	reply reply
}

func send(answers []answer) {
	for _, a := range answers {
		a.to.reply(a.reply)
	}
}

// take handles a message of a process.
func (k *Keeper) take(now time.Time, c *client, m message) {
	k.mu.Lock()
	var due []answer
	switch m.action {
	case ask:
		due = k.ask(now, c, m)
	case leave:
		due = k.leave(now, ticket{c, m.number}, m.life, m.service)
	}
	k.mu.Unlock()
	send(due)
}

func (k *Keeper) ask(now time.Time, c *client, m message) []answer {
	s := k.servers[m.life]
	if s == nil {
		s = &kept{scheduler: admission.New(m.slots)}
		k.servers[m.life] = s
	}
	s.used = now
	s.scheduler.SetSlots(m.slots)
	r := &admission.Request{
		Rank: m.rank, Arrived: now.Add(-m.waited), Objective: now.Add(m.objective), Deadline: now.Add(m.deadline),
		Owner: ticket{c, m.number},
	}
	k.requests[ticket{c, m.number}] = placed{r, m.life}
	out := k.answers(now, s, s.scheduler.Offer(now, r))
	if s.scheduler.Waiting() {
		select {
		case k.wake <- struct{}{}:
		default:
		}
	}
	return out
}

func (k *Keeper) leave(now time.Time, t ticket, l registry.Life, service time.Duration) []answer {
	r, ok := k.requests[t]
	s := k.servers[l]
	if !ok || s == nil {
		return nil
	}
	delete(k.requests, t)
	s.used = now
	return k.answers(now, s, s.scheduler.Finish(now, r.request, service))
}

// answers turns outcomes into replies. The lock is held.
func (k *Keeper) answers(now time.Time, s *kept, outcomes []admission.Outcome) []answer {
	var out []answer
	for _, o := range outcomes {
		t := o.Request.Owner.(ticket)
		r := reply{number: t.number, started: o.Started, wait: s.scheduler.Wait(o.Request.Rank)}
		if !o.Started {
			delete(k.requests, t)
			r.retry = max(0, o.RetryAt.Sub(now))
		}
		out = append(out, answer{t.client, r})
	}
	return out
}

// Counts returns the numbers of servers that are kept, of requests that run on them and of
// those that wait.
func (k *Keeper) Counts() map[string]int {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := map[string]int{"servers": len(k.servers), "running": 0, "waiting": 0}
	for _, s := range k.servers {
		c["running"] += s.scheduler.Running()
		c["waiting"] += s.scheduler.Queued()
	}
	return c
}

// drop gives back all slots of a process that is gone.
func (k *Keeper) drop(now time.Time, c *client) {
	k.mu.Lock()
	var due []answer
	for t, r := range k.requests {
		if t.client != c {
			continue
		}
		delete(k.requests, t)
		if s := k.servers[r.server]; s != nil {
			due = append(due, k.answers(now, s, s.scheduler.Finish(now, r.request, 0))...)
		}
	}
	k.mu.Unlock()
	send(due)
}
