package server

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"bramleystand.org/backendd/internal/execution"
	"bramleystand.org/common/outcome"
)

// beat is the time between two interim answers of a running execution. They tell
// a caller that the connection works: it gives one up after 300 ms without a byte.
const beat = 100 * time.Millisecond

// key runs a request for a key.
func (s *Server) key(w http.ResponseWriter, r *http.Request) {
	if s.faults.Thaw(r.Context()) != nil {
		return
	}
	q, err := parse(r, time.Now())
	if err != nil {
		s.refuse(w, &q, err)
		return
	}
	ctx := r.Context()
	if !q.deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, q.deadline)
		defer cancel()
	}
	if err := s.startable(&q); err != nil {
		s.refuse(w, &q, err)
		return
	}
	if err := s.acquire(ctx); err != nil {
		s.refuse(w, &q, err)
		return
	}
	defer s.release()
	// The grant or the deadline may have run out in the line or during a freeze.
	if err := s.faults.Thaw(ctx); err != nil {
		s.refuse(w, &q, late)
		return
	}
	if err := s.startable(&q); err != nil {
		s.refuse(w, &q, err)
		return
	}
	s.run(ctx, w, r, &q)
}

// acquire takes a slot or returns why there is none.
func (s *Server) acquire(ctx context.Context) error {
	if ctx.Err() != nil || s.slots.Acquire(ctx) != nil {
		if ctx.Err() != nil {
			return late
		}
		return full
	}
	s.history.add(time.Now(), s.loadNow())
	return nil
}

func (s *Server) release() {
	s.slots.Release()
	s.history.add(time.Now(), s.loadNow())
}

// startable returns why a request must not start now, or nil.
func (s *Server) startable(q *request) error {
	now := time.Now()
	switch {
	case !s.draining().IsZero():
		return draining
	case !q.startBefore.IsZero() && !now.Before(q.startBefore):
		return tooLate
	case !q.deadline.IsZero() && !now.Before(q.deadline):
		return late
	case !s.config.Fenced:
		return nil
	}
	return s.gate.Check(q.fence, q.shard, s.clock.Now())
}

// run executes a request that holds a slot.
func (s *Server) run(ctx context.Context, w http.ResponseWriter, r *http.Request, q *request) {
	if q.crash && s.faults.State().Crash {
		s.exit(2)
	}
	started := s.clock.Now()
	s.setRunning(q, started)
	hash := sha256.New()
	// A body that stalls must not hold the slot beyond the deadline.
	control := http.NewResponseController(w)
	control.SetReadDeadline(q.deadline)
	length, err := io.Copy(hash, r.Body)
	control.SetReadDeadline(time.Time{})
	if err == nil {
		err = s.work(ctx, w, q)
	}
	if err == nil {
		err = s.faults.Thaw(ctx)
	}
	record := s.record(q)
	record.Started = started
	// An execution takes effect at its end, so a server that froze in between must
	// check that it still owns the key.
	if err == nil && s.config.Fenced {
		if lost := s.gate.Holds(q.shard, s.clock.Now()); lost != nil {
			record.Result, record.Reason = execution.Aborted, reasonOf(lost)
			s.finish(q, record)
			s.unknown(w, record)
			return
		}
	}
	if err != nil {
		record.Result, record.Reason = execution.Cancelled, err.Error()
		s.finish(q, record)
		s.unknown(w, record)
		return
	}
	record.Result = execution.Ran
	s.answer(w, http.StatusOK, answer{
		Server:      s.config.Name,
		Incarnation: s.clock.Incarnation(),
		Key:         q.key,
		Rank:        record.Rank,
		Operation:   q.operation,
		Execution:   s.finish(q, record),
		SHA256:      hex.EncodeToString(hash.Sum(nil)),
		Length:      length,
	})
}

// work takes the service time and sends an interim answer now and then.
func (s *Server) work(ctx context.Context, w http.ResponseWriter, q *request) error {
	done := time.NewTimer(s.pace.draw(q.rank, s.faults.State().Slow, time.Now()))
	defer done.Stop()
	ticker := time.NewTicker(beat)
	defer ticker.Stop()
	for {
		select {
		case <-done.C:
			return nil
		case <-ctx.Done():
			return fmt.Errorf("server: run: %w", ctx.Err())
		case <-ticker.C:
			if !time.Now().Before(s.faults.State().FrozenUntil) {
				w.WriteHeader(http.StatusProcessing)
			}
		}
	}
}

func (s *Server) setRunning(q *request, started time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[q] = started
}

// finish logs the end of a request and returns its execution number.
func (s *Server) finish(q *request, r execution.Record) uint64 {
	s.mu.Lock()
	delete(s.running, q)
	s.mu.Unlock()
	r.Ended = s.clock.Now()
	return s.log.Append(r)
}

// record returns the part of an execution record that is known from the request.
func (s *Server) record(q *request) execution.Record {
	return execution.Record{
		Key:       q.key,
		Shard:     uint32(q.shard),
		Rank:      q.rank.String(),
		Operation: q.operation,
		Fence:     uint64(q.fence),
	}
}

// refuse answers a request that was not started.
func (s *Server) refuse(w http.ResponseWriter, q *request, err error) {
	record := s.record(q)
	record.Result, record.Reason = execution.Refused, reasonOf(err)
	s.finish(q, record)
	w.Header().Set(outcome.Header, outcome.NotRun.String())
	if errors.Is(err, full) || errors.Is(err, draining) {
		w.Header().Set("Retry-After", "1")
	}
	s.answer(w, statusOf(err), problem{Server: s.config.Name, Refused: record.Reason})
}

// unknown answers a request that was started and did not take effect.
func (s *Server) unknown(w http.ResponseWriter, r execution.Record) {
	w.Header().Set(outcome.Header, outcome.Unknown.String())
	s.answer(w, http.StatusGatewayTimeout, problem{Server: s.config.Name, Refused: r.Reason})
}
