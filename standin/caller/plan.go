package caller

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"amaranthwheel.example/amaranthwheel/standin/workload"
)

// plan is a request before it is sent.
type plan struct {
	method string
	// key is the Idempotency-Key; empty sends none.
	key  string
	size int64
	body int64
	work time.Duration
	// cancelAfter is when the caller gives up; zero never does.
	cancelAfter time.Duration
	// earlier holds the IDs of the requests sent before with the same key.
	earlier []string
}

// newPlan draws a request at random. The number makes its key unique.
func newPlan(cfg *Config, rng *rand.Rand, number uint64) plan {
	p := plan{method: http.MethodGet, work: cfg.Work}
	p.size = cfg.MinSize + rng.Int64N(cfg.MaxSize-cfg.MinSize+1)
	if rng.Float64() < cfg.PostShare {
		p.method = http.MethodPost
		p.body = cfg.BodySize
		if rng.Float64() < cfg.KeyShare {
			p.key = fmt.Sprintf("%s-key-%d", cfg.Name, number)
		}
	}
	if rng.Float64() < cfg.CancelShare {
		p.cancelAfter = max(cfg.Work/2, time.Millisecond)
	}
	return p
}

// repeat returns the plan that sends the same request again.
func (p *plan) repeat(id string) plan {
	again := *p
	again.cancelAfter = 0
	again.earlier = append(append([]string{}, p.earlier...), id)
	return again
}

// bodyName names the stream of the request's body, which is the same in every
// repetition.
func (p *plan) bodyName(id string) string {
	if p.key != "" {
		return p.key
	}
	return id
}

// url returns the request's URL.
func (p *plan) url(authority string) string {
	query := url.Values{}
	query.Set(workload.QuerySize, strconv.FormatInt(p.size, 10))
	query.Set(workload.QueryWork, strconv.FormatInt(p.work.Milliseconds(), 10))
	u := url.URL{Scheme: "https", Host: authority, Path: "/work", RawQuery: query.Encode()}
	return u.String()
}
