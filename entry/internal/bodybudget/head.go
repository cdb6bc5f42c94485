package bodybudget

const (
	// maxUncountedHead is the part of a head for which nothing is reserved, so that usual heads pass while
	// large ones take the whole budget.
	maxUncountedHead = 4 << 10
	// headOverhead is the memory that is held per byte of a head: a header line of a few bytes becomes an
	// entry of a map and a slice.
	headOverhead = 16
)

// HeadSize returns how much is reserved for a head of n bytes.
func HeadSize(n int64) int64 { return max(0, n-maxUncountedHead) * headOverhead }

// UncountedHeadSize returns what a head of n bytes takes beside what HeadSize reserves.
func UncountedHeadSize(n int64) int64 { return min(n, maxUncountedHead) * headOverhead }

// Head reserves the memory for the head of a response while it is read. It is for one goroutine at a time.
type Head struct {
	account        *Account
	read, reserved int64
}

// Begin begins a head, and returns what an earlier one has reserved.
func (h *Head) Begin(a *Account) {
	h.Release()
	h.account = a
}

// Bytes returns the number of bytes that have been read.
func (h *Head) Bytes() int64 { return h.read }

// Add reserves memory for n more bytes. It returns false if the budget has less left.
func (h *Head) Add(n int) bool {
	h.read += int64(n)
	more := HeadSize(h.read) - h.reserved
	if more == 0 {
		return true
	}
	if !h.account.Reserve(more) {
		return false
	}
	h.reserved += more
	return true
}

// Keep leaves what is reserved to the account, until that is closed.
func (h *Head) Keep() { *h = Head{} }

// Release returns all that is reserved.
func (h *Head) Release() {
	h.account.Release(h.reserved)
	*h = Head{}
}
