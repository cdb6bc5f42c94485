package traffic

import (
	"errors"
	"fmt"
	"math"
	"strings"
)

// validateRoute reports all problems of a route.
func validateRoute(r *Route, services map[string]Service) error {
	var problems []error
	reject := func(format string, args ...any) {
		problems = append(problems, fmt.Errorf("traffic: route %q: "+format, append([]any{r.Name}, args...)...))
	}
	if r.Host == "" {
		reject("host is missing")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		reject("prefix %q must begin and end with a slash", r.Prefix)
	}
	if r.Kind < Idempotent || r.Kind > Upload {
		reject("kind %d is unknown, allowed are 0 (idempotent), 1 (non-idempotent) and 2 (upload)", r.Kind)
	}
	if r.Attempts < 1 {
		reject("attempts %d must be at least 1", r.Attempts)
	}
	if r.Timeout <= 0 {
		reject("timeout %v must be above 0", r.Timeout)
	}
	if r.Objective < 0 || r.Rank < 0 {
		reject("objective %v and rank %d must not be negative", r.Objective, r.Rank)
	}
	totalWeight := 0.0
	for _, b := range r.WeightedServices {
		if _, ok := services[b.Service]; !ok {
			reject("service %q is unknown", b.Service)
		}
		if b.Weight < 0 || math.IsNaN(b.Weight) || math.IsInf(b.Weight, 0) {
			reject("weight %v of service %q must be finite and not negative", b.Weight, b.Service)
		}
		totalWeight += b.Weight
	}
	if totalWeight <= 0 {
		reject("no service has a weight above 0")
	}
	return errors.Join(problems...)
}

// validateLimits rejects limits with which every request would be refused.
func validateLimits(l Limits) error {
	if l.HeaderBytes <= 0 || l.BodyBytes < 0 || l.HeaderTimeout <= 0 || l.IdleTimeout <= 0 {
		return fmt.Errorf("traffic: limits %+v must be above 0, only the body size may be 0", l)
	}
	return nil
}
