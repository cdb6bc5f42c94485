package workload

import "fmt"

// Day is the kind of day that a workload imitates.
type Day string

// The days. A flood raises one rank far beyond the capacity of the fleet in the middle third.
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
