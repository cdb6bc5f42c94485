package settings

import "fmt"

// Error says that a value is not allowed and what is.
type Error struct {
	Field   string
	Value   string
	Allowed string
}

// Reject returns an Error for a field; an empty field stands for the whole document.
func Reject(field string, value any, allowed string) error {
	return &Error{Field: field, Value: fmt.Sprint(value), Allowed: allowed}
}

// Error names the field, the value and what is allowed.
func (e *Error) Error() string {
	field := e.Field
	if field == "" {
		field = "document"
	}
	return fmt.Sprintf("%s: %s is not allowed, allowed: %s", field, e.Value, e.Allowed)
}
