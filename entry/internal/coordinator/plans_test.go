package coordinator_test

import (
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/shoenig/test/must"

	"bramleystand.org/common/keyspace"
	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/coordinator"
)

// evenDemand is the same load for each key. It counts how often it is added up.
type evenDemand struct{ read int }

func (d *evenDemand) RecentLoad(time.Time) ([]float64, float64) {
	d.read++
	prefix := make([]float64, keyspace.KeyCount+1)
	for i := range prefix {
		prefix[i] = float64(i) / keyspace.KeyCount
	}
	return prefix, 1000
}

func (d *evenDemand) SteadyLoad(now time.Time) ([]float64, float64)      { return d.RecentLoad(now) }
func (*evenDemand) MaxLoad(time.Time, registry.Instance) (float64, bool) { return 0, false }
func (*evenDemand) Speed(registry.Instance) float64                      { return 1 }

// Guards against a plan at each step while an unanswered order keeps the keys of a silent server in place.
func TestPlansWhileServerSilent(t *testing.T) {
	now := time.Unix(1000, 0)
	c := coordinator.New("s", 1, nil, now, now)
	servers := func(n int) (list []registry.Server) {
		for i := range n {
			list = append(list, registry.Server{Instance: registry.Instance{ID: string(rune('a' + i)), Incarnation: 1}, Service: "s", Address: address(i), Slots: 4})
		}
		return list
	}
	c.SetServers(now, servers(1))
	d := &evenDemand{}
	type answer struct {
		at     time.Time
		result coordinator.Result
	}
	var answers []answer
	silent := time.Time{}
	step := func() {
		now = now.Add(time.Millisecond)
		for len(answers) > 0 && !answers[0].at.After(now) {
			c.HandleResult(now, answers[0].result)
			answers = answers[1:]
		}
		for _, o := range c.Step(now, d, true) {
			a := answer{now.Add(time.Millisecond), coordinator.Result{Number: o.Number}}
			if !silent.IsZero() && o.Server.ID == "a" {
				a = answer{now.Add(400 * time.Millisecond), coordinator.Result{Number: o.Number, Err: eris.New("no answer")}}
			}
			answers = append(answers, a)
		}
		if table, generation, ok := c.Table(); ok {
			c.MarkStored(now, generation, table.Revision+1)
		}
	}
	for range 2000 {
		step()
	}
	silent = now
	c.SetServers(now, servers(20))
	most := 0
	for range 20 {
		before := d.read
		for range 100 {
			step()
		}
		most = max(most, d.read-before)
	}
	// Ten plans a second leave 2.9 s of the 3 s in which a key must be served again. One more may fall into
	// a window.
	must.LessEq(t, 2, most, must.Sprint("plans in 0.1 s"))
}
