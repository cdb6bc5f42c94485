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

// interimInterval is the time between two interim responses of a running execution.
// They show the caller that the connection works. A caller gives up a connection
// after 300 ms without a byte.
const interimInterval = 100 * time.Millisecond

// serveKey runs or refuses a request for a key.
func (s *Server) serveKey(w http.ResponseWriter, r *http.Request) {
	if s.faults.WaitUnfrozen(r.Context()) != nil {
		return
	}
	q, err := parseRequest(r, time.Now())
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
	if err := s.checkStart(&q); err != nil {
		s.refuse(w, &q, err)
		return
	}
	if err := s.acquireSlot(ctx); err != nil {
		s.refuse(w, &q, err)
		return
	}
	defer s.releaseSlot()
	// The grant or the deadline may have expired in the queue or during a freeze.
	if err := s.faults.WaitUnfrozen(ctx); err != nil {
		s.refuse(w, &q, errDeadlinePassed)
		return
	}
	if err := s.checkStart(&q); err != nil {
		s.refuse(w, &q, err)
		return
	}
	s.execute(ctx, w, r, &q)
}

// acquireSlot takes a slot, or returns why none is available.
func (s *Server) acquireSlot(ctx context.Context) error {
	if ctx.Err() != nil || s.slots.Acquire(ctx) != nil {
		if ctx.Err() != nil {
			return errDeadlinePassed
		}
		return errFull
	}
	s.loadHistory.add(time.Now(), s.currentLoad())
	return nil
}

func (s *Server) releaseSlot() {
	s.slots.Release()
	s.loadHistory.add(time.Now(), s.currentLoad())
}

// checkStart returns why a request must not start now, or nil.
func (s *Server) checkStart(q *request) error {
	now := time.Now()
	switch {
	case !s.drainingSince().IsZero():
		return errDraining
	case !q.startBefore.IsZero() && !now.Before(q.startBefore):
		return errStartBeforePassed
	case !q.deadline.IsZero() && !now.Before(q.deadline):
		return errDeadlinePassed
	case !s.config.Fenced:
		return nil
	}
	return s.gate.Check(q.fence, q.shard, s.clock.Now())
}

// execute runs a request that holds a slot.
func (s *Server) execute(ctx context.Context, w http.ResponseWriter, r *http.Request, q *request) {
	if q.crash && s.faults.State().CrashEnabled {
		s.exit(2)
	}
	started := s.clock.Now()
	s.setRunning(q, started)
	hash := sha256.New()
	// Limit reading the body, so that a stalled body doesn't hold the slot beyond the deadline.
	responseController := http.NewResponseController(w)
	responseController.SetReadDeadline(q.deadline)
	length, err := io.Copy(hash, r.Body)
	responseController.SetReadDeadline(time.Time{})
	if err == nil {
		err = s.simulateWork(ctx, w, q)
	}
	if err == nil {
		err = s.faults.WaitUnfrozen(ctx)
	}
	record := s.newRecord(q)
	record.Started = started
	// An execution takes effect at its end. A server that was frozen meanwhile must
	// check that it still owns the shard.
	if err == nil && s.config.Fenced {
		if refused := s.gate.CheckOwned(q.shard, s.clock.Now()); refused != nil {
			record.Result, record.Reason = execution.Aborted, reasonOf(refused)
			s.recordEnd(q, record)
			s.answerUnknown(w, record)
			return
		}
	}
	if err != nil {
		record.Result, record.Reason = execution.Cancelled, err.Error()
		s.recordEnd(q, record)
		s.answerUnknown(w, record)
		return
	}
	record.Result = execution.Ran
	s.writeResponse(w, http.StatusOK, responseJSON{
		Server:      s.config.Name,
		Incarnation: s.clock.Incarnation(),
		Key:         q.key,
		Rank:        record.Rank,
		Operation:   q.operation,
		Execution:   s.recordEnd(q, record),
		SHA256:      hex.EncodeToString(hash.Sum(nil)),
		Length:      length,
	})
}

// simulateWork waits for the service time and sends an interim response at each
// interval, except while the server is frozen.
func (s *Server) simulateWork(ctx context.Context, w http.ResponseWriter, q *request) error {
	done := time.NewTimer(s.serviceTimes.draw(q.rank, s.faults.State().SlowFactor, time.Now()))
	defer done.Stop()
	ticker := time.NewTicker(interimInterval)
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

// recordEnd logs the end of a request and returns the sequence number of its record.
func (s *Server) recordEnd(q *request, r execution.Record) uint64 {
	s.mu.Lock()
	delete(s.running, q)
	s.mu.Unlock()
	r.Ended = s.clock.Now()
	return s.log.Append(r)
}

// newRecord returns an execution record with the fields that the request determines.
func (s *Server) newRecord(q *request) execution.Record {
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
	record := s.newRecord(q)
	record.Result, record.Reason = execution.Refused, reasonOf(err)
	s.recordEnd(q, record)
	w.Header().Set(outcome.Header, outcome.NotRun.String())
	if errors.Is(err, errFull) || errors.Is(err, errDraining) {
		w.Header().Set("Retry-After", "1")
	}
	s.writeResponse(w, statusOf(err), refusalJSON{Server: s.config.Name, Refused: record.Reason})
}

// answerUnknown answers a request that was started but did not take effect. Its
// outcome is reported as unknown.
func (s *Server) answerUnknown(w http.ResponseWriter, r execution.Record) {
	w.Header().Set(outcome.Header, outcome.Unknown.String())
	s.writeResponse(w, http.StatusGatewayTimeout, refusalJSON{Server: s.config.Name, Refused: r.Reason})
}
