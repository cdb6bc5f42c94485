package controller

// role is the current role of this process for the pair.
type role uint8

const (
	roleMember role = iota
	roleCandidate
	roleController
)

// String returns the name of the role in state dumps.
func (r role) String() string {
	switch r {
	case roleMember:
		return "member"
	case roleCandidate:
		return "candidate"
	case roleController:
		return "controller"
	}
	return "invalid"
}
