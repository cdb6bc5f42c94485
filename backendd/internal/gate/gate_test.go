package gate_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/backendd/internal/gate"
	"bramleystand.org/common/fence"
	"bramleystand.org/common/shard"
)

const now = time.Hour

func grant(sequence, revision uint32, until time.Duration, shards ...shard.Shard) gate.Grant {
	return gate.Grant{Incarnation: 5, Fence: fence.New(1, sequence), Revision: revision, Shards: shards, Until: until}
}

// Guards against grants that give a server rights it was not meant to have.
func TestAccept(t *testing.T) {
	late := now + time.Second
	other := grant(3, 1, late, 1)
	other.Incarnation = 4
	for name, c := range map[string]struct {
		grant gate.Grant
		want  error
	}{
		"renewed":               {grant(2, 2, late+time.Millisecond, 1, 2), nil},
		"next revision":         {grant(2, 3, late, 1), nil},
		"next fence":            {grant(3, 0, late, 9), nil},
		"lower revision":        {grant(2, 1, late, 1), gate.Outdated},
		"lower fence":           {grant(1, 9, late, 1), gate.Outdated},
		"delayed":               {grant(3, 1, now, 1), gate.Expired},
		"wrong clock":           {grant(3, 1, now+time.Minute, 1), gate.TooFar},
		"previous process":      {other, gate.Incarnation},
		"same revision differs": {grant(2, 2, late, 1, 3), gate.Changed},
	} {
		t.Run(name, func(t *testing.T) {
			g := gate.New(5)
			must.NoError(t, g.Accept(grant(2, 2, late, 1, 2), now))
			must.Eq(t, c.want, g.Accept(c.grant, now))
		})
	}
}

// Guards against requests that start without a grant that covers them.
func TestCheck(t *testing.T) {
	g := gate.New(5)
	f := fence.New(1, 2)
	must.Eq[error](t, gate.NoGrant, g.Check(f, 1, now))
	must.NoError(t, g.Accept(grant(2, 2, now+time.Second, 1), now))
	must.NoError(t, g.Check(f, 1, now))
	must.Eq[error](t, gate.OtherShard, g.Check(f, 2, now))
	must.Eq[error](t, gate.OtherFence, g.Check(fence.New(1, 1), 1, now))
	must.Eq[error](t, gate.OtherFence, g.Check(fence.New(1, 3), 1, now))
	must.Eq[error](t, gate.Expired, g.Check(f, 1, now+time.Second))
	must.NoError(t, g.Accept(grant(3, 0, now+time.Second, 1), now))
	must.NoError(t, g.Holds(1, now))
	must.Eq[error](t, gate.Expired, g.Holds(1, now+time.Second))
}
