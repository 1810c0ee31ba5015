package platform

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

// forming starts a deployment for the first time: all machines within 0.3 s, the first core before
// the others. The trouble: that core is gone for good before the others have started, and an empty
// one comes 1 s later at another address. With GONE=0 its process starts again 0.2 s later instead.
// The operator then sends the first desired state until it is accepted, and a client sends requests.
func forming(binary string, rec *record, trouble bool) bool {
	f := newFleet(binary, 5, []string{"ledger", "ledger"}, rec)
	defer f.stop()
	first := f.cores[0]
	rec.line("first start")
	first.start()
	go func() {
		time.Sleep(startSpread)
		for _, m := range append(append([]*machine{}, f.cores[1:]...), f.sides...) {
			m.start()
		}
	}()
	if trouble {
		time.Sleep(startSpread / 2)
		rec.line("%s is killed", first.name)
		first.signal(syscall.SIGKILL, true)
		<-first.ended
		if os.Getenv("GONE") == "0" {
			time.Sleep(200 * time.Millisecond)
			rec.line("%s starts again, first_start is false", first.name)
			first.start()
		} else {
			f.replace(first)
		}
	}
	time.Sleep(time.Second)
	for i, m := range f.sides {
		newServer(m, fmt.Sprintf("i-%d", i+1), false).start()
	}
	body := configuration(1, 0, map[string]route{"r-1": newRoute("hulo84.example", "/hucu512/", "unsafe", "ledger", 2)}, map[string]any{"ledger": service(false)})
	began := time.Now()
	code := f.order("PUT", "/api/configuration", body, 40*time.Second)
	rec.line("the first desired state: %d after %v", code, time.Since(began))
	var t tally
	for range 40 {
		t.sent++
		if do(f.sides[t.sent%2], request{target: "/hucu512/small", size: small, limit: 2 * time.Second}) {
			t.served++
		}
		time.Sleep(200 * time.Millisecond)
	}
	text := fmt.Sprintf("the first desired state got %d; requests: %v", code, t)
	rec.line("%s", text)
	fmt.Println(text)
	return t.served == 0
}

// replace starts an empty core at another address, a second after one has gone.
func (f *fleet) replace(gone *machine) {
	time.Sleep(time.Second)
	other := &machine{name: "core-6", role: "control", ip: strings.TrimSuffix(gone.ip, "1") + "6", zone: gone.zone, fleet: f}
	f.cores = append(f.cores[1:], other)
	f.record.line("%s comes in place of %s, empty, first_start is false", other.name, gone.name)
	other.start()
}

const startSpread = 300 * time.Millisecond

func init() { cases["forming"] = forming }
