package server

// The headers of requests and responses between leaseholders and backend servers.
const (
	headerClock       = "Bramley-Clock"
	headerCrash       = "Bramley-Crash"
	headerExchange    = "Bramley-Exchange"
	headerFence       = "Bramley-Fence"
	headerIncarnation = "Bramley-Incarnation"
	headerRank        = "Bramley-Rank"
	headerShard       = "Bramley-Shard"
	headerStartBefore = "Bramley-Start-Before"
	headerTicket      = "Bramley-Ticket"
	headerTimeout     = "Bramley-Timeout"
)
