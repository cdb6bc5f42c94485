package configuration

import "strconv"

const maxAuthorBytes = 200

// Validate reports all values that are not allowed.
func (l *Leaving) Validate() error {
	var p problems
	p.checkName("vm", l.VM)
	if l.Author == "" || len(l.Author) > maxAuthorBytes {
		p.reject("author", strconv.Quote(l.Author), "1 to 200 bytes")
	}
	if l.Since.IsZero() {
		p.reject("since", "no time", "the time of the mark")
	}
	return p.join()
}
