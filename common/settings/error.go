package settings

import "fmt"

// Error reports a field whose value is not allowed, and what is allowed.
type Error struct {
	Field   string
	Value   string
	Allowed string
}

// NewError returns an *Error for a field; an empty field stands for the whole document.
func NewError(field string, value any, allowed string) error {
	return &Error{Field: field, Value: fmt.Sprint(value), Allowed: allowed}
}

// Error returns a message with the field, the value and what is allowed.
func (e *Error) Error() string {
	field := e.Field
	if field == "" {
		field = "document"
	}
	return fmt.Sprintf("%s: %s is not allowed, allowed: %s", field, e.Value, e.Allowed)
}
