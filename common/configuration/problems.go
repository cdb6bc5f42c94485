package configuration

import (
	"errors"
	"fmt"
	"strconv"

	"bramleystand.org/common/settings"
)

// problems collects the errors of a validation, so that all are reported at once.
type problems []error

func (p *problems) reject(field string, value any, allowed string) {
	*p = append(*p, settings.NewError(field, value, allowed))
}

func (p *problems) checkName(field, value string) {
	if !ValidName(value) {
		p.reject(field, strconv.Quote(value), NameRule)
	}
}

func (p *problems) checkRange(field string, value, low, high int) {
	if value < low || value > high {
		p.reject(field, value, fmt.Sprintf("%d to %d", low, high))
	}
}

func (p *problems) join() error {
	return errors.Join(*p...)
}
