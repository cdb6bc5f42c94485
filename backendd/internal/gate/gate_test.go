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

// Guards against a server that accepts a grant which is outdated, expired, from a
// wrong clock or for another process, or which changes the shards of a revision.
func TestAccept(t *testing.T) {
	late := now + time.Second
	other := grant(3, 1, late, 1)
	other.Incarnation = 4
	for name, c := range map[string]struct {
		grant gate.Grant
		want  error
	}{
		"renewal":                           {grant(2, 2, late+time.Millisecond, 1, 2), nil},
		"next revision":                     {grant(2, 3, late, 1), nil},
		"next fence":                        {grant(3, 0, late, 9), nil},
		"lower revision":                    {grant(2, 1, late, 1), gate.Outdated},
		"lower fence":                       {grant(1, 9, late, 1), gate.Outdated},
		"expired on arrival":                {grant(3, 1, now, 1), gate.Expired},
		"expiry too far ahead":              {grant(3, 1, now+time.Minute, 1), gate.UntilTooFar},
		"previous process":                  {other, gate.Incarnation},
		"other shards in the same revision": {grant(2, 2, late, 1, 3), gate.ShardsChanged},
	} {
		t.Run(name, func(t *testing.T) {
			g := gate.New(5)
			must.NoError(t, g.Accept(grant(2, 2, late, 1, 2), now))
			must.Eq(t, c.want, g.Accept(c.grant, now))
		})
	}
}

// Guards against requests that start without a current grant for their fence and
// shard, and against a fence check on executions that already run.
func TestCheck(t *testing.T) {
	g := gate.New(5)
	f := fence.New(1, 2)
	must.Eq[error](t, gate.NoGrant, g.Check(f, 1, now))
	must.NoError(t, g.Accept(grant(2, 2, now+time.Second, 1), now))
	must.NoError(t, g.Check(f, 1, now))
	must.Eq[error](t, gate.ShardNotGranted, g.Check(f, 2, now))
	must.Eq[error](t, gate.OtherFence, g.Check(fence.New(1, 1), 1, now))
	must.Eq[error](t, gate.OtherFence, g.Check(fence.New(1, 3), 1, now))
	must.Eq[error](t, gate.Expired, g.Check(f, 1, now+time.Second))
	must.NoError(t, g.Accept(grant(3, 0, now+time.Second, 1), now))
	must.NoError(t, g.CheckOwned(1, now))
	must.Eq[error](t, gate.Expired, g.CheckOwned(1, now+time.Second))
}
