package gatewayprocess_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/entry/internal/report"
	"bramleystand.org/entry/internal/rpc"
)

// malformedMessages is the number of messages that are sent with each method.
const malformedMessages = 300

// extremes are numbers and texts at the limits of what fields can hold.
var extremes = []any{
	nil, 0, -1, 1, 65535, 65536, int64(math.MaxInt64), int64(math.MinInt64), uint64(math.MaxUint64), 0.5, -0.5, math.NaN(), math.Inf(1), math.Inf(-1), math.MaxFloat64,
	"", "keyed", "a", "127.0.0.1:1",
	[]byte{},
	[]byte{0xff},
	true, false,
	[]any{},
	map[string]any{"a": 1},
}

// randomValue returns an extreme value, or a list of such values up to the depth.
func randomValue(r *rand.Rand, depth int) any {
	if depth == 0 || r.IntN(4) > 0 {
		return extremes[r.IntN(len(extremes))]
	}
	list := make([]any, r.IntN(4))
	for i := range list {
		list[i] = randomValue(r, depth-1)
	}
	return list
}

// reportMessage returns a report of the right form whose numbers are at their limits.
func reportMessage(r *rand.Rand) any {
	floats := []float64{0, 1, -1, math.NaN(), math.Inf(1), math.Inf(-1), math.MaxFloat64, math.SmallestNonzeroFloat64}
	integers := []int64{0, 1, -1, 4, math.MaxInt64, math.MinInt64}
	float := func() float64 { return floats[r.IntN(len(floats))] }
	integer := func() int64 { return integers[r.IntN(len(integers))] }
	return []any{
		[]any{fmt.Sprint("stranger", r.IntN(3)), integer(), "x", netip.MustParseAddrPort("127.0.0.1:9")},
		float(),
		[]any{[]any{"keyed", []any{0, 65535, r.IntN(65536)}, float()}},
		[]any{[]any{"keyed", "a", 1, integer(), float()}, []any{"keyed", "b", integer(), integer(), float()}},
		[]any{[]any{r.Uint64(), "a", integer(), r.IntN(2) == 0}},
		[]any{[]any{"a", 1, r.IntN(2) == 0, float(), integer()}},
		r.IntN(2) == 0,
		[]any{[]any{"unknown", integer()}},
		[]any{[]any{"a", 1, integer()}},
	}
}

// slotMessage returns a request for a slot of the right form whose numbers are at their limits.
func slotMessage(r *rand.Rand) any {
	integers := []int64{0, 1, -1, 4, math.MaxInt64, math.MinInt64, 1e6, -1e6}
	integer := func() int64 { return integers[r.IntN(len(integers))] }
	floats := []float64{0, 0.5, 1, -1, math.NaN(), math.Inf(1)}
	limit := []any{r.IntN(2) == 0, r.IntN(2) == 0, floats[r.IntN(len(floats))], integer()}
	return []any{r.IntN(4), r.IntN(5), fmt.Sprint("server", r.IntN(3)), integer(), integer(), integer(), integer(), integer(), integer(), integer(), floats[r.IntN(len(floats))], limit}
}

// Guards against a malformed message of another process that ends this one or stops its decisions.
func TestMalformedMessages(t *testing.T) {
	t.Parallel()
	s := newFakeStore(t)
	a, b := newFakeBackend(t, "a"), newFakeBackend(t, "b")
	s.put("config", "main", fmt.Sprintf(configurationFormat, 1))
	s.put("servers", "a", a.registryEntry("ready"))
	p := startProcess(t, s, "only")
	eventually(t, 10*time.Second, "all keys are served", func() bool { return p.servesAllKeys("before") })
	client := report.NewClient(&net.Dialer{})
	defer client.Close()
	accepted := false
	r := rand.New(rand.NewPCG(23, 0))
	for _, c := range []struct {
		method  string
		message func(*rand.Rand) any
	}{
		{"/bramleystand/report", reportMessage},
		{"/bramleystand/snapshot", nil},
		{"/bramleystand/yield", nil},
		{"/bramleystand/follow", nil},
		{"/bramleystand/slots", slotMessage},
		{"/bramleystand/unknown", nil},
	} {
		for i := range malformedMessages {
			value := randomValue(r, 3)
			if c.message != nil && i%2 == 0 {
				value = c.message(r)
			}
			if c.method == "/bramleystand/yield" {
				// A number would be the term of a new coordinator, which ends the role of this one.
				value = []any{[]any{value}}
			}
			sendMalformed(t, client, p, c.method, value)
			accepted = accepted || p.metrics.Get("members").String() != "1"
		}
	}
	must.True(t, accepted, must.Sprint("no report was accepted"))
	s.put("servers", "b", b.registryEntry("ready"))
	s.remove("servers", "a")
	eventually(t, 10*time.Second, "the keys move to another server", func() bool { return p.servesAllKeys("after") && b.heldKeys(testKeys) == len(testKeys) })
}

// sendMalformed sends one message and waits a moment for an answer.
func sendMalformed(t *testing.T, client *report.Client, p *testProcess, method string, value any) {
	conn, err := client.Dial(t.Context(), p.settings.PeerAddress)
	must.NoError(t, err)
	defer conn.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	stream, err := conn.NewStream(ctx, method, rpc.Encoding{})
	must.NoError(t, err)
	if err := stream.MsgSend(value, rpc.Encoding{}); err != nil {
		return
	}
	defer time.AfterFunc(20*time.Millisecond, cancel).Stop()
	var answer any
	_ = stream.MsgRecv(&answer, rpc.Encoding{})
}
