package lease

import "bramleystand.org/entry/internal/control"

// Renewal is a request to send and where to.
type Renewal struct {
	To      control.Member
	Request control.RenewRequest
}
