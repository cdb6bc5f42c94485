// Package bodybudget limits the memory for the bodies and large heads of all requests or responses in progress.
//
// # Usage
//
//	budget := bodybudget.New(32 << 20)
//	account := budget.Open()
//	defer account.Close()
//	if !account.Reserve(n) {
//		return errTooManyBytes
//	}
package bodybudget

import "sync/atomic"

// Budget is a number of bytes that all accounts share. It is safe for concurrent use.
type Budget struct {
	limit atomic.Int64
	used  atomic.Int64
}

// New returns a budget of the given number of bytes.
func New(limit int64) *Budget {
	b := &Budget{}
	b.limit.Store(limit)
	return b
}

// SetLimit changes the number of bytes. What is reserved already stays reserved.
func (b *Budget) SetLimit(limit int64) { b.limit.Store(limit) }

// Used returns the number of bytes that are reserved.
func (b *Budget) Used() int64 { return b.used.Load() }

// Open returns an account for one request.
func (b *Budget) Open() *Account { return &Account{budget: b} }
