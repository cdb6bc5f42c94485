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

// attempt returns an answered attempt at a confirmation that names execution 1 on server s1.
func attempt(id string, number int, o outcome.Outcome) operation.Attempt {
	return operation.Attempt{
		Operation: id, Number: number, Service: "seat-desk", Key: "seat-1", Rank: rank.Confirmation,
		Ticket: "t-" + id, Answered: true, Outcome: o, Server: "s1", Execution: 1,
	}
}

// ranExecution returns an execution that took effect.
func ranExecution(server string, number uint64, id string, n int, fence uint64, from, to time.Duration) execution.Execution {
	return execution.Execution{
		Server: server, SequenceNumber: number, Key: "seat-1", Operation: id, Attempt: n, Fence: fence,
		Started: from, Ended: to, Ran: true,
	}
}

// Guards against an oracle that misses a violated invariant or reports a correct run.
// Each case contains one violation or none.
func TestCheck(t *testing.T) {
	answered := attempt("a", 1, outcome.Ran)
	ranOnce := ranExecution("s1", 1, "a", 1, 1, 10, 20)
	wrongBody := attempt("a", 1, outcome.Ran)
	wrongBody.AnswerError = "digest of another body"
	upload := attempt("a", 1, outcome.Ran)
	upload.Rank, upload.Ticket = rank.Upload, ""
	sameTicket := attempt("b", 1, outcome.Unknown)
	sameTicket.Ticket = "t-a"
	unanswered := attempt("a", 1, outcome.Unknown)
	unanswered.Answered = false
	second := attempt("a", 2, outcome.Ran)
	aborted := ranExecution("s2", 1, "a", 1, 2, 12, 18)
	aborted.Ran = false
	otherKey := ranOnce
	otherKey.Key, otherKey.Operation = "seat-2", "z"
	onlyTicket := ranExecution("s1", 1, "t-a", 0, 1, 10, 20)
	unlabelled := func(n uint64) execution.Execution {
		e := ranExecution("s1", n, "", 0, 1, time.Duration(10*n), time.Duration(10*n+5))
		e.Rank = rank.Confirmation.String()
		return e
	}
	sameExecution := attempt("b", 1, outcome.Ran)
	lookup := attempt("a", 1, outcome.Ran)
	lookup.Rank, lookup.Ticket = rank.Lookup, ""

	type attempts = []operation.Attempt
	type executions = []execution.Execution
	cases := map[string]struct {
		attempts   attempts
		executions executions
		want       []oracle.Rule
	}{
		"correct run":                          {attempts{answered}, executions{ranOnce}, nil},
		"resent without a response":            {attempts{unanswered, second}, executions{ranOnce}, nil},
		"refused, ran when resent":             {attempts{attempt("a", 1, outcome.NotRun), second}, executions{ranExecution("s1", 1, "a", 2, 1, 10, 20)}, nil},
		"key moved to another server":          {attempts{answered, attempt("b", 1, outcome.Unknown)}, executions{ranOnce, ranExecution("s2", 1, "b", 1, 2, 20, 30)}, nil},
		"aborted on another server":            {attempts{answered}, executions{ranOnce, aborted}, nil},
		"lookup retried by entry VM":           {attempts{lookup}, executions{ranOnce, ranExecution("s2", 1, "a", 1, 2, 30, 40)}, nil},
		"execution logs only ticket":           {attempts{answered}, executions{onlyTicket}, nil},
		"execution logs no operation":          {attempts{answered}, executions{unlabelled(1)}, nil},
		"ticket ran twice, logs only ticket":   {attempts{answered}, executions{onlyTicket, ranExecution("s1", 2, "t-a", 0, 1, 30, 40)}, []oracle.Rule{oracle.DoubleRun}},
		"more executions than tickets":         {attempts{unanswered, second}, executions{unlabelled(1), unlabelled(2)}, []oracle.Rule{oracle.DoubleRun}},
		"execution answers two operations":     {attempts{answered, sameExecution}, executions{unlabelled(1)}, []oracle.Rule{oracle.ForeignAnswer}},
		"ticket ran twice":                     {attempts{answered}, executions{ranOnce, ranExecution("s1", 2, "a", 2, 1, 30, 40)}, []oracle.Rule{oracle.DoubleRun}},
		"ticket of two operations":             {attempts{answered, sameTicket}, executions{ranOnce, ranExecution("s1", 2, "b", 1, 1, 30, 40)}, []oracle.Rule{oracle.DoubleRun}},
		"not-run but ran":                      {attempts{attempt("a", 1, outcome.NotRun)}, executions{ranOnce}, []oracle.Rule{oracle.FalseNotRun}},
		"not-run but ran, attempt not logged":  {attempts{attempt("a", 1, outcome.NotRun), attempt("a", 2, outcome.NotRun)}, executions{ranExecution("s1", 1, "a", 0, 1, 10, 20)}, []oracle.Rule{oracle.FalseNotRun}},
		"not-run but ran, resent attempt ran":  {attempts{attempt("a", 1, outcome.NotRun), second}, executions{ranOnce}, []oracle.Rule{oracle.FalseNotRun}},
		"response for another body":            {attempts{wrongBody}, executions{ranOnce}, []oracle.Rule{oracle.ForeignAnswer}},
		"response for another key":             {attempts{answered}, executions{otherKey, ranExecution("s1", 2, "a", 1, 1, 30, 40)}, []oracle.Rule{oracle.ForeignAnswer, oracle.MissingRun}},
		"two servers under one fence":          {attempts{lookup}, executions{ranOnce, ranExecution("s2", 1, "a", 1, 1, 30, 40)}, []oracle.Rule{oracle.DoubleOwner}},
		"two servers at the same time":         {attempts{lookup}, executions{ranOnce, ranExecution("s2", 1, "a", 1, 2, 19, 40)}, []oracle.Rule{oracle.DoubleOwner}},
		"long execution overlaps other server": {attempts{lookup}, executions{ranExecution("s1", 1, "a", 1, 1, 10, 90), ranExecution("s1", 2, "a", 1, 1, 12, 14), ranExecution("s2", 1, "a", 1, 2, 50, 60)}, []oracle.Rule{oracle.DoubleOwner}},
		"upload without execution":             {attempts{upload}, nil, []oracle.Rule{oracle.MissingRun}},
		"upload names unlogged execution":      {attempts{upload}, executions{ranExecution("s1", 2, "a", 1, 1, 10, 20)}, []oracle.Rule{oracle.MissingRun}},
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

// Guards against reporting a response as a violation, or counting it as traced, when the
// log of its server was lost because the server was killed.
func TestIncompleteLog(t *testing.T) {
	o := oracle.New([]operation.Attempt{attempt("a", 1, outcome.Ran)}, nil, map[string]bool{"s1": true})
	must.SliceEmpty(t, o.Check())
	must.Eq(t, 1, o.Untraced())
}
