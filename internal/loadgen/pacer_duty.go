package loadgen

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"endivespring/internal/ring"
)

// pacerDuty puts each request on the ring when it is due. The ring has space for
// all requests of the run, so that the pacer never waits for answers.
type pacerDuty struct {
	settings  *Settings
	start     time.Time
	total     int
	scheduled *ring.Ring[scheduledRequest]
	random    *rand.Rand
	zipf      *rand.Zipf
}

func newPacer(s *Settings, start time.Time, total int, scheduled *ring.Ring[scheduledRequest]) *pacerDuty {
	d := &pacerDuty{settings: s, start: start, total: total, scheduled: scheduled, random: rand.New(rand.NewPCG(s.Seed, s.Seed))}
	if s.Zipf > 1 && s.Keys > 0 {
		d.zipf = rand.NewZipf(d.random, s.Zipf, 1, uint64(s.Keys-1))
	}
	return d
}

// Run schedules every request of the run. It returns early if the context ends.
func (d *pacerDuty) Run(ctx context.Context) error {
	run := strconv.FormatInt(d.start.UnixNano(), 36)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for i := range d.total {
		due := d.start.Add(time.Duration(float64(i) / d.settings.Rate * float64(time.Second)))
		timer.Reset(time.Until(due))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		next := scheduledRequest{due: due, address: d.address(i), operation: d.operation(), key: d.key(), id: run + "-" + strconv.Itoa(i)}
		if d.scheduled.Put(ctx, next) != nil {
			return nil
		}
		if !d.mustResend(i) {
			continue
		}
		next.address, next.resend = d.address(i+1), true
		if d.scheduled.Put(ctx, next) != nil {
			return nil
		}
	}
	return nil
}

func (d *pacerDuty) address(i int) string { return d.settings.Addresses[i%len(d.settings.Addresses)] }

func (d *pacerDuty) mustResend(i int) bool {
	return d.settings.ResendEvery > 0 && i%d.settings.ResendEvery == 0
}

// resendCount returns how many requests of a run are sent a second time.
func (s *Settings) resendCount(total int) int {
	if s.ResendEvery == 0 {
		return 0
	}
	return (total + s.ResendEvery - 1) / s.ResendEvery
}

func (d *pacerDuty) operation() int {
	sum := 0.0
	for _, o := range d.settings.Mix {
		sum += o.Weight
	}
	left := d.random.Float64() * sum
	for i, o := range d.settings.Mix {
		if left -= o.Weight; left < 0 {
			return i
		}
	}
	return len(d.settings.Mix) - 1
}

func (d *pacerDuty) key() string {
	switch {
	case d.settings.Keys == 0:
		return ""
	case d.zipf != nil:
		return "key-" + strconv.FormatUint(d.zipf.Uint64(), 10)
	default:
		return "key-" + strconv.Itoa(d.random.IntN(d.settings.Keys))
	}
}
