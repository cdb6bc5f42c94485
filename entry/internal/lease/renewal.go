package lease

import "bramleystand.org/entry/internal/control"

// Renewal is a renewal request and the member to send it to.
type Renewal struct {
	To      control.Member
	Request control.RenewRequest
}
