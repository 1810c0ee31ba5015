package scenarios

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
	"unsafe"

	"github.com/rogpeppe/go-internal/testscript"

	"endivespring/internal/controller"
	"endivespring/internal/operator"
	"endivespring/internal/settings"
	"endivespring/internal/storage"
)

const firstRecordOffset = 13 // of a byte within the first record of a log file

// cmdControl inspects control processes and injects disk faults:
// control leader VAR sets VAR to the leader's name and f1, f2 and so on to the followers';
// control voters N waits for N voters, each with its present disk, and no learners;
// control empty NAME kills a process and empties its data folder;
// control damage NAME flips a bit in the first log record of a stopped process;
// control full NAME makes every further file write of a process fail;
// control quarantined NAME waits until the process has quarantined its damaged files;
// control changes N commits N operator changes and sets "config" to the config version;
// control others NAME writes others.json, operator settings without that process;
// control kept fails if the config version is lower than "config".
func cmdControl(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) == 0 {
		ts.Fatalf("usage: control leader|voters|empty|damage|full|quarantined|changes|others|kept [ARG]")
	}
	switch args[0] {
	case "leader":
		setLeader(ts, args[1])
	case "voters":
		count, err := strconv.Atoi(args[1])
		ts.Check(err)
		awaitStatus(ts, func(s *controller.Status) bool {
			return len(s.Voters) == count && len(s.Learners) == 0 && currentDisks(ts, s.Voters)
		})
	case "empty":
		cmdSignal(ts, false, []string{"KILL", args[1]})
		ts.Check(os.RemoveAll(ts.MkAbs(args[1])))
		ts.Check(os.Mkdir(ts.MkAbs(args[1]), 0o750))
	case "others":
		writeOthers(ts, args[1])
	case "damage":
		damageLog(ts, args[1])
	case "full":
		limit := syscall.Rlimit{}
		pid := fleetOf(ts).processes[args[1]].cmd.Process.Pid
		_, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(pid), syscall.RLIMIT_FSIZE, uintptr(unsafe.Pointer(&limit)), 0, 0, 0)
		if errno != 0 {
			ts.Fatalf("limit the file size of %s: %v", args[1], errno)
		}
	case "quarantined":
		awaitQuarantine(ts, args[1])
	case "changes":
		count, err := strconv.Atoi(args[1])
		ts.Check(err)
		commitChanges(ts, count)
	case "kept":
		minVersion, err := strconv.Atoi(ts.Getenv("config"))
		ts.Check(err)
		awaitStatus(ts, func(s *controller.Status) bool {
			if int(s.ConfigVersion) < minVersion {
				ts.Fatalf("config version is %d, want at least %d", s.ConfigVersion, minVersion)
			}
			return true
		})
	default:
		ts.Fatalf("unknown subcommand: control %s", args[0])
	}
}

func operatorClient(ts *testscript.TestScript) *operator.Client {
	var s settings.Operator
	ts.Check(settings.Read(ts.MkAbs("operator.json"), &s))
	token, err := settings.ReadToken(s.TokenFile)
	ts.Check(err)
	return operator.NewClient(s.Control, token, 2*time.Second)
}

// awaitStatus returns the first status of the leader that meets the condition.
func awaitStatus(ts *testscript.TestScript, condition func(s *controller.Status) bool) *controller.Status {
	client := operatorClient(ts)
	var last *controller.Status
	for end := time.Now().Add(eventuallyLimit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		status, err := client.Status()
		if err != nil {
			continue
		}
		if last = status; condition(status) {
			return status
		}
	}
	data, _ := json.Marshal(last)
	ts.Fatalf("the leader's status did not meet the condition in time, last: %s", data)
	return nil
}

func setLeader(ts *testscript.TestScript, name string) {
	status := awaitStatus(ts, func(*controller.Status) bool { return true })
	ts.Setenv(name, status.Leader)
	number := 0
	for _, voter := range status.Voters {
		if other, _, _ := strings.Cut(voter, "/"); other != status.Leader {
			number++
			ts.Setenv(fmt.Sprintf("f%d", number), other)
		}
	}
}

// currentDisks reports whether each voter (NAME/DISK) is the disk that its process
// has now.
func currentDisks(ts *testscript.TestScript, voters []string) bool {
	for _, voter := range voters {
		name, disk, _ := strings.Cut(voter, "/")
		data, err := os.ReadFile(filepath.Join(ts.MkAbs(name), "identity.json"))
		var identity storage.Identity
		if err != nil || json.Unmarshal(data, &identity) != nil || identity.Disk != disk {
			return false
		}
	}
	return true
}

func damageLog(ts *testscript.TestScript, name string) {
	file := filepath.Join(ts.MkAbs(name), "log")
	data, err := os.ReadFile(file)
	ts.Check(err)
	data[firstRecordOffset] ^= 0x10
	ts.Check(os.WriteFile(file, data, 0o640))
}

func awaitQuarantine(ts *testscript.TestScript, name string) {
	for end := time.Now().Add(eventuallyLimit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if found, _ := filepath.Glob(filepath.Join(ts.MkAbs(name), "damaged-*", "log")); len(found) == 1 {
			return
		}
	}
	ts.Fatalf("%s did not quarantine its log in time", name)
}

func commitChanges(ts *testscript.TestScript, count int) {
	client := operatorClient(ts)
	status := awaitStatus(ts, func(*controller.Status) bool { return true })
	config := uint64(status.ConfigVersion)
	for i := range count {
		result := commit(ts, client, &operator.ChangeBody{
			CommandID: fmt.Sprintf("change-%d-%d", config, i), Operator: "scenario", Expected: config, DataCentre: "nowhere", Out: i%2 == 0,
		})
		if !result.Accepted {
			ts.Fatalf("change %d refused: %s", i, result.Reason)
		}
		config = uint64(result.Config)
	}
	ts.Setenv("config", strconv.FormatUint(config, 10))
}

// writeOthers expects the addresses in operator.json in the order of the processes'
// numbers.
func writeOthers(ts *testscript.TestScript, name string) {
	var s settings.Operator
	ts.Check(settings.Read(ts.MkAbs("operator.json"), &s))
	number, err := strconv.Atoi(strings.TrimPrefix(name, "control-"))
	ts.Check(err)
	s.Control = append(s.Control[:number-1:number-1], s.Control[number:]...)
	writeJSON(ts, "others.json", s)
}

// commit resends a change under its command ID until it is answered.
func commit(ts *testscript.TestScript, client *operator.Client, change *operator.ChangeBody) *operator.ResultBody {
	for end := time.Now().Add(eventuallyLimit); ; {
		result, err := client.Change(change)
		if err == nil {
			return result
		}
		if time.Now().After(end) {
			ts.Fatalf("%s: %v", change.CommandID, err)
		}
	}
}
