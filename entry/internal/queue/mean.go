package queue

import "time"

// meanSamples is the weight of the past in a mean. With exponential service times the mean
// of 64 samples deviates by about 12%, which the margin of the expected wait covers.
const meanSamples = 64

// mean is a running mean of service times that forgets old samples.
type mean struct {
	value   time.Duration
	samples int
}

// add includes a sample.
func (m *mean) add(d time.Duration) {
	m.samples = min(m.samples+1, meanSamples)
	m.value += (d - m.value) / time.Duration(m.samples)
}
