package platform

// UnavailableError reports that the platform gave no usable response.
type UnavailableError struct {
	// Uncertain is true if an update may have taken effect, or may still do so.
	Uncertain bool
	Err       error
}

// Error returns a message with the cause and, if Uncertain is set, a remark that the result is not
// known.
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
