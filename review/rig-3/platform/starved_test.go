package platform

import (
	"fmt"
	"time"
)

const (
	small    = 300
	smallGap = 200 * time.Millisecond
)

// newLedger starts a fleet of three cores and one side machine for each service named, and a
// server beside each. Requests to /hucu512/ go to the servers of ledger.
func newLedger(binary string, rec *record, services []string) (*fleet, []*server) {
	f := newFleet(binary, 3, services, rec)
	f.start()
	kinds := map[string]any{}
	for _, s := range services {
		kinds[s] = service(false)
	}
	body := configuration(1, 0, map[string]route{"r-1": newRoute("hulo84.example", "/hucu512/", "unsafe", "ledger", 10)}, kinds)
	if code := f.order("PUT", "/api/configuration", body, 10*time.Second); code != 200 {
		check(fmt.Errorf("the first desired state was answered with %d", code))
	}
	var servers []*server
	for i, m := range f.sides {
		s := newServer(m, fmt.Sprintf("i-%d", i+1), false)
		s.start()
		servers = append(servers, s)
		if !m.awaitReady(10 * time.Second) {
			check(fmt.Errorf("%s is not ready", m.name))
		}
	}
	time.Sleep(5 * time.Second) // the servers are warm
	return f, servers
}

// play sends small requests all the time and an upload every interval, one at a time, to one
// machine. It counts both kinds.
func play(m *machine, upload request, interval time.Duration, uploads int) (smalls, large tally) {
	done := make(chan tally)
	stop := make(chan struct{})
	go func() {
		var t tally
		for {
			select {
			case <-stop:
				done <- t
				return
			case <-time.After(smallGap):
				t.sent++
				if do(m, request{target: "/hucu512/small", size: small, limit: 3 * time.Second, tries: 1}) {
					t.served++
				}
			}
		}
	}()
	for range uploads {
		time.Sleep(interval)
		large.sent++
		if do(m, upload) {
			large.served++
		}
	}
	close(stop)
	return <-done, large
}

// starved judges the rule Starved of the gate: a kind of request is served less than a quarter as
// often as all requests.
func starved(rec *record, smalls, large tally) bool {
	all := tally{smalls.sent + large.sent, smalls.served + large.served}
	text := fmt.Sprintf("uploads: %v; ordinary requests: %v; share of uploads %.3f, of all %.3f", large, smalls, large.share(), all.share())
	rec.line("%s", text)
	fmt.Println(text)
	return large.share() < all.share()/4
}

// uploads sends uploads of 5 MiB through a machine whose server is of another service, so that
// they go to the next machine. The trouble: they come in chunks.
func uploads(binary string, rec *record, trouble bool) bool {
	f, _ := newLedger(binary, rec, []string{"front", "ledger"})
	defer f.stop()
	smalls, large := play(f.sides[0], request{target: "/hucu512/upload", size: 5 << 20, chunked: trouble, limit: 8 * time.Second, tries: 2}, time.Second, 12)
	return starved(rec, smalls, large)
}

// afterCrash sends uploads of 40 MiB through the machine of the only server. The trouble: the
// server crashes before, and an upload and ordinary requests wait for its return.
func afterCrash(binary string, rec *record, trouble bool) bool {
	f, servers := newLedger(binary, rec, []string{"ledger"})
	defer f.stop()
	m := f.sides[0]
	upload := request{target: "/hucu512/upload", size: 40 << 20, limit: 8 * time.Second, tries: 2}
	rec.line("an upload before: served %v", do(m, upload))
	if trouble {
		rec.line("the server crashes")
		servers[0].crash()
		time.Sleep(3500 * time.Millisecond)
		for i := range 10 {
			go do(m, request{target: "/hucu512/small", size: small, limit: 3 * time.Second})
			if i == 4 {
				go do(m, upload)
			}
			time.Sleep(100 * time.Millisecond)
		}
		rec.line("the server is back")
		newServer(m, "i-2", false).start()
		time.Sleep(4 * time.Second)
	}
	smalls, large := play(m, upload, 1500*time.Millisecond, 12)
	return starved(rec, smalls, large)
}

func init() {
	cases["uploads"], cases["after-crash"] = uploads, afterCrash
}
