package slots_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/coldstart"
	"bramleystand.org/entry/internal/dispatch"
	"bramleystand.org/entry/internal/election"
	"bramleystand.org/entry/internal/report"
	"bramleystand.org/entry/internal/requestlimit"
	"bramleystand.org/entry/internal/slots"
	"bramleystand.org/entry/internal/view"
)

// memberList implements slots.Members with the members that a test has started.
type memberList struct {
	mu  sync.Mutex
	all []election.Member
}

func (l *memberList) Members() []election.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all
}

func (l *memberList) MembersConfirmed() bool { return true }

// noReports is a handler of report.Server that ignores all calls, so that only slots are served.
type noReports struct{}

func (noReports) Report(time.Time, report.Report) report.Response { return report.Response{} }
func (noReports) Snapshot(time.Time, struct{}) []report.Object    { return nil }
func (noReports) StepDown(time.Time, report.StepDown) report.StepDownResponse {
	return report.StepDownResponse{}
}

func (noReports) Follow(context.Context, report.FollowRequest, func(report.Update) error) error {
	return nil
}

// member is an entry process that allocates slots and requests them through its limiter.
type member struct {
	election.Member
	limiter *slots.Limiter
	stop    context.CancelFunc
}

// startMember starts a member on the loopback interface and adds it to the list.
func startMember(t *testing.T, members *memberList, name, centre string) *member {
	return startMemberWith(t, members, name, centre, view.New())
}

// startMemberWith is startMember for a process that knows the servers of a view.
func startMemberWith(t *testing.T, members *memberList, name, centre string, v *view.View) *member {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	m := &member{Member: election.Member{Name: name, DataCentre: centre, Address: netip.MustParseAddrPort(l.Addr().String())}, stop: cancel}
	logger := &log.Logger{Handler: discard.New()}
	limits := requestlimit.NewTable(logger)
	allocator := slots.NewAllocator(limits, coldstart.New(limits, v), v)
	client := report.NewClient(&net.Dialer{})
	m.limiter = slots.New(ctx, m.Member, allocator, client, members, limits, coldstart.New(limits, v), v, logger)
	var group sync.WaitGroup
	group.Go(func() { allocator.Run(ctx) })
	group.Go(func() { m.limiter.Run(ctx) })
	group.Go(func() { _ = report.NewServer(noReports{}, allocator, logger).Serve(ctx, l) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	members.mu.Lock()
	members.all = append(members.all, m.Member)
	members.mu.Unlock()
	return m
}

// slotRequest returns a request that arrives now. Its objective is after the given time, its
// deadline after twice that time.
func slotRequest(server string, slots int, objective time.Duration) dispatch.SlotRequest {
	now := time.Now()
	return dispatch.SlotRequest{
		Server:  registry.Server{Instance: registry.Instance{ID: server, Incarnation: 1}, Slots: slots, DataCentre: "x"},
		Arrived: now, Objective: now.Add(objective), Deadline: now.Add(2 * objective),
	}
}

// Guards against more running requests than a server has slots, when several processes send them.
func TestSlotsShared(t *testing.T) {
	members := &memberList{}
	a, b, c := startMember(t, members, "a", "x"), startMember(t, members, "b", "x"), startMember(t, members, "c", "y")
	const slotCount = 4
	var mu sync.Mutex
	running, maxRunning, served := 0, 0, 0
	var group sync.WaitGroup
	for _, m := range []*member{a, b, c} {
		for range 20 {
			group.Go(func() {
				s, err := m.limiter.Acquire(t.Context(), slotRequest("server", slotCount, 20*time.Second))
				if err != nil {
					return
				}
				mu.Lock()
				running++
				served++
				maxRunning = max(maxRunning, running)
				mu.Unlock()
				time.AfterFunc(0, func() {}) // Other requests get a chance to run.
				mu.Lock()
				running--
				mu.Unlock()
				s.Release(dispatch.Outcome{ServiceTime: time.Millisecond})
			})
		}
	}
	group.Wait()
	must.Between(t, 1, maxRunning, slotCount)
	must.Greater(t, 30, served)
}

// Guards against slots that are never freed because the process that holds them has failed.
func TestProcessFailure(t *testing.T) {
	members := &memberList{}
	allocator, failing := startMember(t, members, "a", "x"), startMember(t, members, "b", "y")
	_, err := failing.limiter.Acquire(t.Context(), slotRequest("server", 1, 10*time.Second))
	must.NoError(t, err)
	done := make(chan error, 1)
	go func() {
		_, err := allocator.limiter.Acquire(t.Context(), slotRequest("server", 1, 10*time.Second))
		done <- err
	}()
	failing.stop()
	must.NoError(t, <-done)
}

// Guards against requests that fail or wait because the allocator of their server has failed.
func TestAllocatorFailure(t *testing.T) {
	members := &memberList{}
	allocator, other := startMember(t, members, "a", "x"), startMember(t, members, "b", "y")
	s, err := other.limiter.Acquire(t.Context(), slotRequest("server", 4, 10*time.Second))
	must.NoError(t, err)
	allocator.stop()
	begin := time.Now()
	again, err := other.limiter.Acquire(t.Context(), slotRequest("server", 4, 10*time.Second))
	must.NoError(t, err)
	must.Less(t, 5*time.Second, time.Since(begin))
	s.Release(dispatch.Outcome{ServiceTime: time.Millisecond})
	again.Release(dispatch.Outcome{ServiceTime: time.Millisecond})
}

// Guards against a refusal without a time for the next try, and against waiting for a slot that
// can't become free in time.
func TestRefusal(t *testing.T) {
	members := &memberList{}
	a := startMember(t, members, "a", "x")
	s, err := a.limiter.Acquire(t.Context(), slotRequest("server", 1, 10*time.Second))
	must.NoError(t, err)
	_, err = a.limiter.Acquire(t.Context(), slotRequest("server", 1, time.Millisecond))
	refusal, ok := errors.AsType[*dispatch.RefusalError](err)
	must.True(t, ok)
	must.True(t, refusal.RetryAt.After(time.Now()))
	s.Release(dispatch.Outcome{ServiceTime: time.Millisecond})
}

// Guards against a request that keeps its place in the queue after its client has disconnected.
func TestClientDisconnects(t *testing.T) {
	members := &memberList{}
	startMember(t, members, "a", "x")
	b := startMember(t, members, "b", "y")
	s, err := b.limiter.Acquire(t.Context(), slotRequest("server", 1, 10*time.Second))
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = b.limiter.Acquire(ctx, slotRequest("server", 1, 10*time.Second))
	must.ErrorIs(t, err, context.Canceled)
	s.Release(dispatch.Outcome{ServiceTime: time.Millisecond})
	s, err = b.limiter.Acquire(t.Context(), slotRequest("server", 1, 10*time.Second))
	must.NoError(t, err)
	s.Release(dispatch.Outcome{ServiceTime: time.Millisecond})
}

// Guards against a request that waits beyond its deadline because new requests at another server
// keep putting off the check for expired ones.
func TestExpiryUnderLoad(t *testing.T) {
	members := &memberList{}
	a := startMember(t, members, "a", "x")
	for _, server := range []string{"full", "flooded"} {
		_, err := a.limiter.Acquire(t.Context(), slotRequest(server, 1, 10*time.Second))
		must.NoError(t, err)
	}
	done := make(chan error, 1)
	go func() {
		_, err := a.limiter.Acquire(t.Context(), slotRequest("full", 1, 300*time.Millisecond))
		done <- err
	}()
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	for range 1000 {
		group.Go(func() { _, _ = a.limiter.Acquire(ctx, slotRequest("flooded", 1, 10*time.Second)) })
		select {
		case err := <-done:
			must.Error(t, err)
			return
		case <-time.After(3 * time.Millisecond):
		}
	}
	t.Fatal("the request still waits after its deadline")
}
