package oracle_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"bramleystand.org/common/outcome"
	"bramleystand.org/common/rank"
	"bramleystand.org/replay/internal/execution"
	"bramleystand.org/replay/internal/operation"
	"bramleystand.org/replay/internal/oracle"
)

func attempt(id string, number int, o outcome.Outcome) operation.Attempt {
	return operation.Attempt{
		Operation: id, Number: number, Service: "seat-desk", Key: "seat-1", Rank: rank.Confirmation,
		Ticket: "t-" + id, Told: true, Outcome: o, Server: "s1", Execution: 1,
	}
}

func run(server string, number uint64, id string, n int, fence uint64, from, to time.Duration) execution.Execution {
	return execution.Execution{
		Server: server, Number: number, Key: "seat-1", Operation: id, Attempt: n, Fence: fence,
		Started: from, Ended: to, Ran: true,
	}
}

// Guards against an oracle that passes a run in which an invariant was broken, or
// that reports a correct run. Each case holds one fault, or none.
func TestCheck(t *testing.T) {
	ok := attempt("a", 1, outcome.Ran)
	okRun := run("s1", 1, "a", 1, 1, 10, 20)
	foreign := attempt("a", 1, outcome.Ran)
	foreign.Fault = "digest of another body"
	upload := attempt("a", 1, outcome.Ran)
	upload.Rank, upload.Ticket = rank.Upload, ""
	resent := attempt("b", 1, outcome.Unknown)
	resent.Ticket = "t-a"
	silent := attempt("a", 1, outcome.Unknown)
	silent.Told = false
	second := attempt("a", 2, outcome.Ran)
	aborted := run("s2", 1, "a", 1, 2, 12, 18)
	aborted.Ran = false
	otherKey := okRun
	otherKey.Key, otherKey.Operation = "seat-2", "z"
	byTicket := run("s1", 1, "t-a", 0, 1, 10, 20)
	unlabelled := func(n uint64) execution.Execution {
		e := run("s1", n, "", 0, 1, time.Duration(10*n), time.Duration(10*n+5))
		e.Rank = rank.Confirmation.String()
		return e
	}
	shared := attempt("b", 1, outcome.Ran)
	lookup := attempt("a", 1, outcome.Ran)
	lookup.Rank, lookup.Ticket = rank.Lookup, ""

	type attempts = []operation.Attempt
	type executions = []execution.Execution
	cases := map[string]struct {
		attempts   attempts
		executions executions
		want       []oracle.Rule
	}{
		"correct":                       {attempts{ok}, executions{okRun}, nil},
		"resent after silence":          {attempts{silent, second}, executions{okRun}, nil},
		"refused, then ran":             {attempts{attempt("a", 1, outcome.NotRun), second}, executions{run("s1", 1, "a", 2, 1, 10, 20)}, nil},
		"moved in order":                {attempts{ok, attempt("b", 1, outcome.Unknown)}, executions{okRun, run("s2", 1, "b", 1, 2, 20, 30)}, nil},
		"aborted elsewhere":             {attempts{ok}, executions{okRun, aborted}, nil},
		"lookup retried by entry VM":    {attempts{lookup}, executions{okRun, run("s2", 1, "a", 1, 2, 30, 40)}, nil},
		"known by ticket":               {attempts{ok}, executions{byTicket}, nil},
		"known by number":               {attempts{ok}, executions{unlabelled(1)}, nil},
		"ticket ran twice by ticket":    {attempts{ok}, executions{byTicket, run("s1", 2, "t-a", 0, 1, 30, 40)}, []oracle.Rule{oracle.DoubleRun}},
		"more runs than tickets":        {attempts{silent, second}, executions{unlabelled(1), unlabelled(2)}, []oracle.Rule{oracle.DoubleRun}},
		"answer given to two":           {attempts{ok, shared}, executions{unlabelled(1)}, []oracle.Rule{oracle.ForeignAnswer}},
		"ticket ran twice":              {attempts{ok}, executions{okRun, run("s1", 2, "a", 2, 1, 30, 40)}, []oracle.Rule{oracle.DoubleRun}},
		"ticket of two operations":      {attempts{ok, resent}, executions{okRun, run("s1", 2, "b", 1, 1, 30, 40)}, []oracle.Rule{oracle.DoubleRun}},
		"not-run has run":               {attempts{attempt("a", 1, outcome.NotRun)}, executions{okRun}, []oracle.Rule{oracle.FalseNotRun}},
		"not-run has run, no attempt":   {attempts{attempt("a", 1, outcome.NotRun), attempt("a", 2, outcome.NotRun)}, executions{run("s1", 1, "a", 0, 1, 10, 20)}, []oracle.Rule{oracle.FalseNotRun}},
		"not-run has run, resend ran":   {attempts{attempt("a", 1, outcome.NotRun), second}, executions{okRun}, []oracle.Rule{oracle.FalseNotRun}},
		"caller saw another body":       {attempts{foreign}, executions{okRun}, []oracle.Rule{oracle.ForeignAnswer}},
		"answer of another request":     {attempts{ok}, executions{otherKey, run("s1", 2, "a", 1, 1, 30, 40)}, []oracle.Rule{oracle.ForeignAnswer, oracle.MissingRun}},
		"two servers under one fence":   {attempts{lookup}, executions{okRun, run("s2", 1, "a", 1, 1, 30, 40)}, []oracle.Rule{oracle.DoubleOwner}},
		"two servers at one time":       {attempts{lookup}, executions{okRun, run("s2", 1, "a", 1, 2, 19, 40)}, []oracle.Rule{oracle.DoubleOwner}},
		"two servers, long and nested":  {attempts{lookup}, executions{run("s1", 1, "a", 1, 1, 10, 90), run("s1", 2, "a", 1, 1, 12, 14), run("s2", 1, "a", 1, 2, 50, 60)}, []oracle.Rule{oracle.DoubleOwner}},
		"upload ran without execution":  {attempts{upload}, nil, []oracle.Rule{oracle.MissingRun}},
		"upload ran as other execution": {attempts{upload}, executions{run("s1", 2, "a", 1, 1, 10, 20)}, []oracle.Rule{oracle.MissingRun}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var got []oracle.Rule
			for _, v := range oracle.New(c.attempts, c.executions, nil).Check() {
				got = append(got, v.Rule)
				must.StrContains(t, v.String(), v.Operations[0])
			}
			must.Eq(t, c.want, got)
		})
	}
}

// Guards against a killed server's lost log being taken as a violation, or as proof of an execution.
func TestIncomplete(t *testing.T) {
	o := oracle.New([]operation.Attempt{attempt("a", 1, outcome.Ran)}, nil, map[string]bool{"s1": true})
	must.SliceEmpty(t, o.Check())
	must.Eq(t, 1, o.Unchecked())
}
