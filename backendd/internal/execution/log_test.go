package execution_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"bramleystand.org/backendd/internal/execution"
)

// Guards against records that are renumbered when old ones are dropped, and against
// drops that are not counted.
func TestAfter(t *testing.T) {
	l := execution.New(2)
	for i := uint64(1); i <= 5; i++ {
		must.Eq(t, i, l.Append(execution.Record{}))
	}
	records, dropped := l.After(0, 10)
	must.Eq(t, 2, dropped)
	must.Len(t, 3, records)
	must.Eq(t, 3, records[0].Sequence)
	records, _ = l.After(3, 1)
	must.Len(t, 1, records)
	must.Eq(t, 4, records[0].Sequence)
	records, _ = l.After(99, 1)
	must.SliceEmpty(t, records)
}
