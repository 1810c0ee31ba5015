package standin

import (
	"bytes"
	"cmp"
	"context"
	"crypto/rand"
	"os"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/rotisserie/eris"

	"endivespring/internal/clock"
	"endivespring/internal/duty"
	"endivespring/internal/peer"
	"endivespring/internal/ring"
	"endivespring/internal/upstream"
)

const (
	schedulerCapacity = 64                     // entries in each of the rings arrivals and cancels
	ledgerCapacity    = 1024                   // ledger lines waiting to be written
	leaveDrainTime    = 300 * time.Millisecond // time for the router to stop sending requests
	shutdownTimeout   = 5 * time.Second        // longest wait for connections to close
	ledgerFileMode    = 0o640
)

// Server is a running stand-in.
type Server struct {
	settings       Settings
	group          *duty.Group
	arrivals       *ring.Ring[*job]
	cancels        *ring.Ring[string]
	changes        *ring.Ring[behaviourRequest]
	announce       *announceDuty
	stopAnnouncing context.CancelFunc
	app            *fiber.App
	ledger         *os.File
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
	server.app.Post("/run/:operation", server.handleRun)
	server.app.Post("/cancel", server.handleCancel)
	server.app.Post("/behaviour", server.handleBehaviour)
	server.group.Go("server", func(context.Context) error { return server.app.Listener(listener) })
	return server, nil
}

func (s *Server) openLedger() error {
	path := s.settings.Ledger
	if path == "" {
		path = os.DevNull
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, ledgerFileMode)
	s.ledger = file
	return eris.Wrap(err, "open ledger")
}

func (s *Server) startDuties() {
	announcing, stop := context.WithCancel(s.group.Context())
	s.stopAnnouncing = stop
	entries := ring.New[ledgerEntry]("ledger", ledgerCapacity, ring.Wait)
	slots := ring.New[*job]("slots", s.settings.Slots, ring.Wait)
	finished := ring.New[*job]("done", s.settings.Slots, ring.Wait)
	s.arrivals = ring.New[*job]("arrivals", schedulerCapacity, ring.Wait)
	s.cancels = ring.New[string]("cancels", schedulerCapacity, ring.Wait)
	s.changes = ring.New[behaviourRequest]("changes", 1, ring.Wait)
	s.group.Go("ledger", (&ledgerDuty{entries: entries, out: s.ledger}).Run)
	scheduler := &schedulerDuty{
		settings: s.settings, arrivals: s.arrivals, slots: slots, finished: finished, cancels: s.cancels, changes: s.changes, ledger: entries,
	}
	s.group.Go("scheduler", scheduler.Run)
	for range s.settings.Slots {
		s.group.Go("slot", (&slotDuty{name: s.settings.Name, jobs: slots, finished: finished}).Run)
	}
	s.announce = &announceDuty{address: s.settings.Announce, every: s.settings.AnnounceEvery, announcement: upstream.Announcement{
		Name: s.settings.Name, Service: s.settings.Service, Address: cmp.Or(s.settings.Advertise, s.settings.Address), Boot: rand.Text(),
		Slots: s.settings.Slots, ColdSlots: s.settings.ColdSlots, Connections: s.settings.Connections, ChecksGrants: s.settings.ChecksGrants,
	}}
	s.group.Go("announce", func(context.Context) error { return s.announce.Run(announcing) })
}

func (s *Server) handleRun(c *fiber.Ctx) error {
	j := readJob(c)
	if s.arrivals.Put(s.group.Context(), j) != nil {
		return c.SendStatus(fiber.StatusServiceUnavailable)
	}
	res, err := j.reply.Take(s.group.Context())
	if err != nil {
		res = result{fault: FaultReset}
	}
	return s.writeAnswer(c, &res)
}

// readJob creates a job from a request. It copies all data, since fiber reuses its
// buffers after the handler returns.
func readJob(c *fiber.Ctx) *job {
	copied := func(name string) string { return string(bytes.Clone([]byte(c.Get(name)))) }
	epoch, _ := strconv.ParseUint(copied(upstream.HeaderEpoch), 10, 64)
	remaining, _ := strconv.ParseInt(copied(upstream.HeaderDeadline), 10, 64)
	j := &job{
		line: LedgerLine{
			RequestID: copied(upstream.HeaderRequestID), Operation: string(bytes.Clone([]byte(c.Params("operation")))),
			Key: copied(upstream.HeaderKey), Shard: copied(upstream.HeaderShard), Epoch: epoch,
		},
		body: bytes.Clone(c.Body()), run: copied(upstream.HeaderRun), deadline: time.Now().Add(milliseconds(remaining)), connectedAt: c.Context().ConnTime(),
		cancel: ring.NewReply[struct{}](), reply: ring.NewReply[result](),
	}
	if end, err := strconv.ParseInt(copied(upstream.HeaderGrantEnd), 10, 64); err == nil {
		j.grantEnd = time.Unix(0, end)
	}
	return j
}

func (s *Server) handleCancel(c *fiber.Ctx) error {
	_ = s.cancels.Put(s.group.Context(), string(bytes.Clone([]byte(c.Get(upstream.HeaderRequestID)))))
	return c.SendStatus(fiber.StatusNoContent)
}

func (s *Server) handleBehaviour(c *fiber.Ctx) error {
	request := behaviourRequest{body: bytes.Clone(c.Body()), reply: ring.NewReply[string]()}
	if s.changes.Put(s.group.Context(), request) != nil {
		return c.SendStatus(fiber.StatusServiceUnavailable)
	}
	problem, err := request.reply.Take(s.group.Context())
	if err != nil || problem != "" {
		return c.Status(fiber.StatusBadRequest).SendString(problem)
	}
	return c.SendStatus(fiber.StatusNoContent)
}

// Reload does nothing: a stand-in gets its behaviour from flags and from
// POST /behaviour, not from a settings file.
func (s *Server) Reload() {}

// Stop tells the router that the stand-in leaves, gives it leaveDrainTime to send
// its last requests, and stops.
func (s *Server) Stop() {
	s.stopAnnouncing()
	_ = s.announce.leave()
	clock.Pause(s.group.Context(), leaveDrainTime)
	_ = s.app.ShutdownWithTimeout(shutdownTimeout)
	s.group.Stop()
}

// Wait waits until the stand-in has stopped, closes the ledger and returns the first
// error of a duty.
func (s *Server) Wait() error {
	<-s.group.Context().Done()
	_ = s.app.ShutdownWithTimeout(shutdownTimeout)
	err := s.group.Wait()
	_ = s.ledger.Close()
	return err
}
