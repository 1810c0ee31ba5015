package standin

import (
	"bytes"
	"context"
	"crypto/rand"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v2"
	"github.com/rotisserie/eris"

	"endivespring/internal/duty"
	"endivespring/internal/peer"
	"endivespring/internal/ring"
	"endivespring/internal/upstream"
)

const (
	queueCapacity  = 1    // jobs waiting for a slot; more are shed
	ledgerCapacity = 1024 // lines waiting for the file
	leaveTime      = 300 * time.Millisecond
	ledgerMode     = 0o640
)

// Server is a running stand-in.
type Server struct {
	settings Settings
	group    *duty.Group
	jobs     *ring.Ring[*job]
	announce *announceDuty
	app      *fiber.App
	epochs   *ring.Ring[epochCheck]
	ledger   *os.File
}

// Start opens the listener and the ledger and starts the duties.
func Start(ctx context.Context, s Settings) (*Server, error) {
	listener, err := peer.Listen(s.Address)
	if err != nil {
		return nil, err
	}
	server := &Server{settings: s, group: duty.NewGroup(ctx)}
	if err := server.openLedger(); err != nil {
		_ = listener.Close()
		return nil, err
	}
	server.startDuties()
	server.app = fiber.New(fiber.Config{DisableStartupMessage: true})
	server.app.Post("/run/:operation", server.run)
	server.app.Post("/cancel", func(c *fiber.Ctx) error { return c.SendStatus(http.StatusNoContent) })
	server.group.Go("server", func(context.Context) error { return server.app.Listener(listener) })
	return server, nil
}

func (s *Server) openLedger() error {
	path := s.settings.Ledger
	if path == "" {
		path = os.DevNull
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, ledgerMode)
	s.ledger = file
	return eris.Wrap(err, "open ledger")
}

func (s *Server) startDuties() {
	lines := ring.New[LedgerLine]("ledger", ledgerCapacity, ring.Wait)
	s.jobs = ring.New[*job]("jobs", queueCapacity, ring.Refuse)
	s.epochs = ring.New[epochCheck]("epochs", queueCapacity, ring.Wait)
	s.group.Go("ledger", (&ledgerDuty{lines: lines, out: s.ledger}).Run)
	s.group.Go("epochs", (&epochDuty{checks: s.epochs, newest: map[string]uint64{}}).Run)
	for range s.settings.Slots {
		slot := &slotDuty{name: s.settings.Name, latency: s.settings.Latency, jobs: s.jobs, ledger: lines}
		s.group.Go("slot", slot.Run)
	}
	s.announce = &announceDuty{address: s.settings.Announce, every: s.settings.AnnounceEvery, announcement: upstream.Announcement{
		Name: s.settings.Name, Service: s.settings.Service, Address: s.settings.Address, Boot: rand.Text(),
		Slots: s.settings.Slots, ColdSlots: s.settings.ColdSlots, Connections: s.settings.Connections, ChecksGrants: s.settings.ChecksGrants,
	}}
	s.group.Go("announce", s.announce.Run)
}

func (s *Server) run(c *fiber.Ctx) error {
	j := readJob(c)
	c.Set(upstream.HeaderRequestID, j.line.RequestID)
	if s.settings.ChecksGrants && !s.current(&j.line) {
		c.Set(upstream.HeaderRan, "no")
		return c.SendStatus(http.StatusPreconditionFailed)
	}
	out := result{status: http.StatusServiceUnavailable}
	if s.jobs.Put(c.Context(), j) == nil {
		out = <-j.reply.Out()
	}
	if !out.ran {
		c.Set(upstream.HeaderRan, "no")
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	c.Set(upstream.HeaderChecksum, strconv.FormatUint(xxhash.Sum64(out.body), 16))
	return c.Status(out.status).Send(out.body)
}

// readJob copies everything out of the library's buffers.
func readJob(c *fiber.Ctx) *job {
	copied := func(name string) string { return string(bytes.Clone([]byte(c.Get(name)))) }
	epoch, _ := strconv.ParseUint(copied(upstream.HeaderEpoch), 10, 64)
	left, _ := strconv.ParseInt(copied(upstream.HeaderDeadline), 10, 64)
	return &job{
		line: LedgerLine{
			RequestID: copied(upstream.HeaderRequestID), Operation: string(bytes.Clone([]byte(c.Params("operation")))),
			Key: copied(upstream.HeaderKey), Shard: copied(upstream.HeaderShard), Epoch: epoch,
		},
		body: bytes.Clone(c.Body()), deadline: time.Now().Add(time.Duration(left) * time.Millisecond), reply: ring.NewReply[result](),
	}
}

// current asks the epoch duty whether the request's epoch is not stale.
func (s *Server) current(line *LedgerLine) bool {
	check := epochCheck{shard: line.Shard, epoch: line.Epoch, reply: ring.NewReply[bool]()}
	if s.epochs.Put(s.group.Context(), check) != nil {
		return false
	}
	return <-check.reply.Out()
}

// Stop leaves, waits until the router has sent its last request and stops.
func (s *Server) Stop() {
	_ = s.announce.leave()
	pause(s.group.Context(), leaveTime)
	_ = s.app.Shutdown()
	s.group.Stop()
}

// Wait waits until the stand-in has stopped.
func (s *Server) Wait() error {
	<-s.group.Context().Done()
	_ = s.app.Shutdown()
	err := s.group.Wait()
	_ = s.ledger.Close()
	return err
}
