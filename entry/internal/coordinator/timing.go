package coordinator

import "time"

const (
	// HoldDuration is how long a server holds keys after a grant. It bounds how long the keys of a
	// silent server stay without an owner, and it must exceed the time in which another coordinator
	// takes over, about 2 s.
	HoldDuration = 3 * time.Second
	// MaxOfflineRenewal is how long a coordinator renews grants after its last contact with the
	// store. It covers an outage of the store, and bounds how long a successor waits for a server
	// that it can't reach itself.
	MaxOfflineRenewal = 12 * time.Second
	// renewInterval is the time between two grants of the same keys; two grants may be lost before
	// the keys expire.
	renewInterval = 800 * time.Millisecond
	// retryInterval is the time before an order that failed is tried again.
	retryInterval = 250 * time.Millisecond
	// silenceTimeout is the time without a response after which a server gets no more grants, so
	// that its grants expire and its keys can go to another server.
	silenceTimeout = 900 * time.Millisecond
	// trialInterval is the time between two grants to a server that accepts connections but answers no
	// grants. It is longer than a grant lasts, so that the keys of the first one become free.
	trialInterval = 4 * time.Second
	// propagationDelay is the time in which entry VMs read a change of the table from the store.
	propagationDelay = 25 * time.Millisecond
	// planInterval is the time between two plans by the load of the last second.
	planInterval = 400 * time.Millisecond
	// urgentPlanInterval is the time between two plans while a range has no usable owner. Such a range may
	// stay so for as long as an order to its holder is unanswered.
	urgentPlanInterval = 100 * time.Millisecond
	// steadyPlanInterval is the time between two plans by the load of the last seconds.
	steadyPlanInterval = 2 * time.Second
	// initialAssignmentDelay is how long a service without a table waits for more servers to register at
	// least, and maxInitialAssignmentDelay at most. In between it waits until no server has registered for
	// settledTime: a server that comes later gets its keys from another one, which takes longer.
	initialAssignmentDelay    = time.Second
	maxInitialAssignmentDelay = 4 * time.Second
	settledTime               = 500 * time.Millisecond
	// MaxStepOrders bounds the orders of a step. A thousand orders at once, each on a connection of its own
	// at first, would all time out.
	MaxStepOrders = 40
	// maxRecentOrders bounds the orders without a result that were issued within recentOrderTime, so that a
	// VM which is short of processor time gets no further behind. A server answers within milliseconds.
	maxRecentOrders = 160
	recentOrderTime = 100 * time.Millisecond
	// sendMargin covers the time between the decision to send a grant and its sending.
	sendMargin = 150 * time.Millisecond
)

// MaxGrantLifetime returns how long a grant that is ordered now may be in force: a server's clock
// may run 2% slow.
func MaxGrantLifetime() time.Duration { return HoldDuration + HoldDuration/50 + sendMargin }
