package controller

// role is what the process currently does for the pair.
type role uint8

const (
	supporting role = iota
	campaigning
	controlling
)

// String returns the name of the role.
func (r role) String() string {
	switch r {
	case supporting:
		return "member"
	case campaigning:
		return "candidate"
	case controlling:
		return "controller"
	}
	return "invalid"
}
