package bodybudget_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"bramleystand.org/entry/internal/bodybudget"
)

// Guards against reservations beyond the budget, and against bytes that stay reserved after a refusal or
// the end of a request.
func TestBudget(t *testing.T) {
	b := bodybudget.New(10)
	first, second := b.Open(), b.Open()
	must.True(t, first.Reserve(6))
	must.False(t, second.Reserve(5))
	must.True(t, second.Reserve(4))
	first.Release(2)
	must.True(t, second.Reserve(2))
	must.Eq(t, 10, b.Used())
	second.Close()
	must.Eq(t, 4, b.Used())
	first.Close()
	first.Close()
	must.Eq(t, 0, b.Used())
}

// Guards against a panic or a limit for requests without an account.
func TestNilAccount(t *testing.T) {
	var a *bodybudget.Account
	must.True(t, a.Reserve(1<<40))
	a.Release(1)
	a.Close()
}
