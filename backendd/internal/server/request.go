package server

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"bramleystand.org/common/fence"
	"bramleystand.org/common/rank"
	"bramleystand.org/common/shard"
)

// request holds what the path and the headers of a request for a key say.
type request struct {
	key         string
	rank        rank.Rank
	operation   string
	fence       fence.Fence
	shard       shard.Shard
	startBefore time.Time // zero if there is none
	deadline    time.Time // zero if there is none
	crash       bool
}

// parseRequest reads the path and the headers. The rank defaults to lookup and the
// fence to 0.
func parseRequest(r *http.Request, now time.Time) (request, error) {
	q := request{
		rank:      rank.Lookup,
		operation: r.Header.Get(headerTicket),
		crash:     r.Header.Get(headerCrash) == "1",
	}
	var err error
	if q.key, err = url.PathUnescape(strings.TrimPrefix(r.URL.EscapedPath(), pathKeys)); err != nil {
		return q, fmt.Errorf("server: key: %w", err)
	}
	if v := r.Header.Get(headerRank); v != "" {
		if q.rank, err = rank.Parse(v); err != nil {
			return q, fmt.Errorf("server: %s: %w", headerRank, err)
		}
	}
	f, err := parseHeaderNumber(r, headerFence, 64)
	if err != nil {
		return q, err
	}
	q.fence = fence.Fence(f)
	s, err := parseHeaderNumber(r, headerShard, 32)
	if err != nil {
		return q, err
	}
	q.shard = shard.Shard(s)
	startBefore, err := parseHeaderNumber(r, headerStartBefore, 63)
	if err != nil {
		return q, err
	}
	if startBefore > 0 {
		q.startBefore = time.UnixMilli(int64(startBefore))
	}
	timeout, err := parseHeaderNumber(r, headerTimeout, 31)
	if err != nil {
		return q, err
	}
	if r.Header.Get(headerTimeout) != "" {
		q.deadline = now.Add(time.Duration(timeout) * time.Millisecond)
	}
	return q, nil
}

// parseHeaderNumber reads a header that holds an unsigned number. A missing header is 0.
func parseHeaderNumber(r *http.Request, name string, bits int) (uint64, error) {
	v := r.Header.Get(name)
	if v == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(v, 10, bits)
	if err != nil {
		return 0, fmt.Errorf("server: %s: %w", name, err)
	}
	return n, nil
}
