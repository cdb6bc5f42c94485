package peer_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"

	"bramleystand.org/common/fence"
	"bramleystand.org/common/outcome"
	"bramleystand.org/common/rank"
	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/control"
	"bramleystand.org/entry/internal/exchange"
	"bramleystand.org/entry/internal/peer"
)

// handlerFunc implements peer.RequestHandler.
type handlerFunc func(ctx context.Context, r *exchange.Request) *exchange.Response

func (f handlerFunc) Handle(ctx context.Context, r *exchange.Request) *exchange.Response {
	return f(ctx, r)
}

// echoControlHandler answers control messages with the values of the request.
type echoControlHandler struct{}

func (echoControlHandler) Renew(_ time.Time, r control.RenewRequest) control.RenewResponse {
	return control.RenewResponse{
		Pair: r.Pair, Accepted: true, Term: 4, Sequence: r.Sequence, Controller: r.Member, Remaining: time.Second,
		Leases: []control.Lease{{
			Upstream: "u", Fence: fence.New(4, 2), Revision: 3, Shards: []shard.Shard{5, 6}, Releasing: []shard.Shard{6},
			Handovers: r.Reports[0].Released,
		}},
	}
}

func (echoControlHandler) Support(_ time.Time, r control.SupportRequest) control.SupportResponse {
	return control.SupportResponse{
		Pair: r.Pair, Accepted: true, Term: r.Term, Record: r.Record, Succession: r.Succession,
		Member: r.Candidate, Version: r.Version, Table: r.Table, LeasesOutstanding: time.Second,
	}
}

func (echoControlHandler) Resign(time.Time, control.ResignRequest) {}

func (echoControlHandler) Sync(_ time.Time, s control.Sync) control.Sync { return s }

// startServer runs a server on the loopback interface. It returns its address and a function that
// stops it.
func startServer(t *testing.T, h handlerFunc) (netip.AddrPort, context.CancelFunc) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = peer.NewServer(h, echoControlHandler{}, &log.Logger{Handler: discard.New()}).Serve(ctx, l)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return netip.MustParseAddrPort(l.Addr().String()), cancel
}

func forward(t *testing.T, to netip.AddrPort, r *exchange.Request) *exchange.Response {
	t.Helper()
	c := peer.NewClient(&net.Dialer{})
	t.Cleanup(func() { _ = c.Close() })
	r.Deadline = time.Now().Add(time.Minute)
	return c.Forward(t.Context(), to, r)
}

// Guards against a request or response that is altered in transit, for bodies that fit in one
// message and for bodies that take several.
func TestForward(t *testing.T) {
	for _, size := range []int{0, 10, 32 << 10, 1<<20 + 7} {
		body := bytes.Repeat([]byte("x"), size)
		var got exchange.Request
		to, _ := startServer(t, func(_ context.Context, r *exchange.Request) *exchange.Response {
			got = *r
			text := string(r.BodyPrefix)
			if r.BodyRest != nil {
				rest, err := io.ReadAll(r.BodyRest)
				must.NoError(t, err)
				text += string(rest)
			}
			response := exchange.TextResponse(outcome.Ran, http.StatusAccepted, text)
			response.Header = http.Header{"X-Own": {"1"}}
			response.Ticket = "next"
			return response
		})
		request := &exchange.Request{
			Service: "s", Key: "k", Shard: 9, Rank: rank.Upload, Ticket: "t", WantTicket: true,
			Method: "PUT", Query: "q=1", Header: http.Header{"A": {"b"}}, Fingerprint: 1 << 63, BodyLength: int64(size),
		}
		request.BodyPrefix = body
		if size > exchange.BodyPrefixBytes {
			request.BodyPrefix = body[:exchange.BodyPrefixBytes]
			request.BodyRest = bytes.NewReader(body[exchange.BodyPrefixBytes:])
		}
		response := forward(t, to, request)
		text, err := io.ReadAll(response.Body)
		must.NoError(t, err)
		must.NoError(t, response.Body.Close())
		must.Eq(t, string(body), string(text))
		must.Eq(t, http.StatusAccepted, response.Status)
		must.Eq(t, "1", response.Header.Get("X-Own"))
		must.Eq(t, "next", response.Ticket)
		must.Eq(t, request.Key+request.Query+request.Ticket+request.Method, got.Key+got.Query+got.Ticket+got.Method)
		must.Eq(t, request.Fingerprint, got.Fingerprint)
		must.Eq(t, request.BodyLength, got.BodyLength)
		must.Eq(t, rank.Upload, got.Rank)
	}
}

// truncatedBody ends with io.ErrUnexpectedEOF instead of io.EOF.
type truncatedBody struct{ io.Reader }

func (b *truncatedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func (*truncatedBody) Close() error { return nil }

// Guards against a truncated response that is taken for a complete one, in the first message and
// in a later chunk.
func TestTruncatedAnswer(t *testing.T) {
	for _, size := range []int{3, 100_000} {
		to, _ := startServer(t, func(context.Context, *exchange.Request) *exchange.Response {
			return &exchange.Response{
				Outcome: outcome.Ran, Status: 200, Body: &truncatedBody{strings.NewReader(strings.Repeat("x", size))},
			}
		})
		response := forward(t, to, &exchange.Request{})
		text, err := io.ReadAll(response.Body)
		must.ErrorIs(t, err, io.ErrUnexpectedEOF)
		must.LessEq(t, size, len(text))
		_ = response.Body.Close()
	}
}

// Guards against an unknown outcome being reported when no connection to the leaseholder could
// be opened, so that the request can't have run.
func TestUnreachableLeaseholder(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	to := netip.MustParseAddrPort(l.Addr().String())
	must.NoError(t, l.Close())
	response := forward(t, to, &exchange.Request{})
	must.Eq(t, outcome.NotRun, response.Outcome)
	must.True(t, response.Reroute)
}

// Guards against an unknown outcome being reported when the stream could not be opened because
// the connection or the context was already unusable: the request is in the first message of the
// stream, which was not sent.
func TestUnusableConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_ = c.Close()
		}
	}()
	c := peer.NewClient(&net.Dialer{})
	t.Cleanup(func() { _ = c.Close() })
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	response := c.Forward(ctx, netip.MustParseAddrPort(l.Addr().String()), &exchange.Request{Deadline: time.Now().Add(time.Minute)})
	must.Eq(t, outcome.NotRun, response.Outcome)
}

// Guards against a request being reported as not run when the leaseholder stopped while it was
// handling it.
func TestLeaseholderLost(t *testing.T) {
	var cancel context.CancelFunc
	to, cancel := startServer(t, func(ctx context.Context, _ *exchange.Request) *exchange.Response {
		cancel()
		<-ctx.Done()
		return exchange.NotRunResponse(503, "late")
	})
	response := forward(t, to, &exchange.Request{})
	must.Eq(t, outcome.Unknown, response.Outcome)
}

// Guards against control messages that are altered between client and server, or answered by the
// wrong method.
func TestControlMessages(t *testing.T) {
	to, _ := startServer(t, nil)
	c := peer.NewClient(&net.Dialer{})
	t.Cleanup(func() { _ = c.Close() })
	pair := control.Pair{Service: "s", DataCentre: "d"}
	member := control.Member{Name: "m", Incarnation: 1, DataCentre: "d", Address: to}
	release := control.Release{
		Shard: 6, ReleasedFence: fence.New(3, 1), TicketRanges: []control.TicketRange{{Fence: 1, First: 2, Next: 3, Age: 4, Remaining: 5}},
		Records: []control.Record{{Ticket: "t", Outcome: outcome.Ran, Done: true, Status: 200, Body: []byte("b"), Remaining: 7}},
	}
	renewed, err := c.Renew(t.Context(), to, control.RenewRequest{
		Pair: pair, Member: member, Sequence: 8, Reports: []control.UpstreamReport{{Upstream: "u", Released: []control.Release{release}}},
	})
	must.NoError(t, err)
	must.Eq(t, echoControlHandler{}.Renew(time.Time{}, control.RenewRequest{
		Pair: pair, Member: member, Sequence: 8, Reports: []control.UpstreamReport{{Upstream: "u", Released: []control.Release{release}}},
	}), renewed)
	table := &control.Table{Pair: pair, Term: 2, Sequence: 3, Placements: []control.Placement{{
		Upstream: "u", Leaseholder: member, Fence: fence.New(2, 2), Revision: 4, Shards: []shard.Shard{1},
	}}}
	record := &control.Succession{Pair: pair, Term: 2, Version: 9, Members: []control.Member{member}, Former: []control.Member{member}, Founded: 1}
	request := control.SupportRequest{
		Pair: pair, Term: 2, Record: 9, Succession: record, Candidate: member,
		Version: control.Version{Term: 2, Sequence: 3}, Table: table,
	}
	supported, err := c.Support(t.Context(), to, request)
	must.NoError(t, err)
	must.Eq(t, echoControlHandler{}.Support(time.Time{}, request), supported)
	message := control.Sync{
		Hash: 1, RecentVersions: []control.ItemVersion{{Key: 1, High: 2, Low: 3}}, Buckets: []uint64{4}, ListedBuckets: []uint16{5}, RequestedKeys: []uint64{6},
		Objects: []control.Object{{Name: "o", Version: 7, Deleted: true, Value: []byte("v")}}, Tables: []control.Table{*table},
		Members: []control.Announcement{{Member: member, SequenceNumber: 8, Leaving: true}},
	}
	synced, err := c.Sync(t.Context(), to, message)
	must.NoError(t, err)
	must.Eq(t, message, synced)
	must.NoError(t, c.Resign(t.Context(), to, control.ResignRequest{Pair: pair, Term: 2, From: member, Table: table}))
}
