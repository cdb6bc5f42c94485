package workload

import "fmt"

// Day is the kind of day that a workload simulates.
type Day string

// The kinds of days. Week is a day of a festival or arrival week. On the flood days,
// the rate of one rank exceeds the capacity of the fleet by far in the middle third
// of the trace.
const (
	Ordinary          Day = "ordinary"
	Week              Day = "week"
	UploadFlood       Day = "upload-flood"
	ConfirmationFlood Day = "confirmation-flood"
)

// ParseDay returns the day with the given name.
func ParseDay(name string) (Day, error) {
	switch d := Day(name); d {
	case Ordinary, Week, UploadFlood, ConfirmationFlood:
		return d, nil
	}
	return "", fmt.Errorf("workload: day %q is unknown, allowed are ordinary, week, upload-flood and confirmation-flood", name)
}
