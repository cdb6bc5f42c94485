package bodybudget

// Account holds the bytes that are reserved for one request. It is for one goroutine at a time. The
// methods of a nil account do nothing, so that it has no limit.
type Account struct {
	budget   *Budget
	reserved int64
}

// Reserve reserves n bytes. It returns false if the budget has less left.
func (a *Account) Reserve(n int64) bool {
	if a == nil {
		return true
	}
	if a.budget.used.Add(n) > a.budget.limit.Load() {
		a.budget.used.Add(-n)
		return false
	}
	a.reserved += n
	return true
}

// Release returns n of the reserved bytes.
func (a *Account) Release(n int64) {
	if a == nil {
		return
	}
	a.reserved -= n
	a.budget.used.Add(-n)
}

// Close returns all bytes that are still reserved.
func (a *Account) Close() {
	if a != nil {
		a.Release(a.reserved)
	}
}
