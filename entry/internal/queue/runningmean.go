package queue

import "time"

// meanSamples is the number of samples over which a mean is taken. With exponential service times
// the mean of 64 samples deviates by about 12%, which waitMargin covers.
const meanSamples = 64

// runningMean is a mean of service times in which the weight of old samples decays.
type runningMean struct {
	value   time.Duration
	samples int
}

// add includes a sample. After the first meanSamples samples, each new one has the weight 1/meanSamples.
func (m *runningMean) add(d time.Duration) {
	m.samples = min(m.samples+1, meanSamples)
	m.value += (d - m.value) / time.Duration(m.samples)
}
