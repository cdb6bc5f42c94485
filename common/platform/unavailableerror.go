package platform

// UnavailableError tells that the platform gave no usable answer.
type UnavailableError struct {
	// Uncertain is true if an update may have taken effect, or may still do so.
	Uncertain bool
	Err       error
}

// Error returns the cause.
func (e *UnavailableError) Error() string {
	if e.Uncertain {
		return "platform: unavailable, whether the update took effect is not known: " + e.Err.Error()
	}
	return "platform: unavailable: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error {
	return e.Err
}
