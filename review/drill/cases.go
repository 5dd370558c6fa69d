package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"reflect"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// drainBound, touchBound and flowLimit are drain-ms, contact-ms and flow-max-s of the site
	// glenbraan-edge-grown.
	drainBound = 4000 * time.Millisecond
	touchBound = 5000 * time.Millisecond
	flowLimit  = 60 * time.Second
)

// startService declares the service, starts its targets, waits until the balancers are ready and then
// for a while, so that all machines are in touch.
func startService(options caseOptions, count int) ([]*target, *client, error) {
	fleet := options.fleet
	if err := fleet.putConfig(fleet.config(1, nil)); err != nil {
		return nil, nil, err
	}
	var targets []*target
	for index := range count {
		target, err := fleet.startTarget(0x7f3a9100+uint64(index), byte(150+index), zoneNames[index%len(zoneNames)])
		if err != nil {
			return nil, nil, err
		}
		targets = append(targets, target)
		go target.beat()
	}
	if err := fleet.awaitReady(); err != nil {
		return nil, nil, err
	}
	client, err := fleet.startClient(200)
	if err != nil {
		return nil, nil, err
	}
	time.Sleep(touchBound + 2*time.Second)
	return targets, client, nil
}

// longFlow is a flow that carries a request every now and then.
type longFlow struct {
	flow   *clientFlow
	owner  string
	opened time.Time
	// failure is the reason why the flow ended; nil while it is open.
	failure  error
	failedAt time.Time
	served   int
}

const longFlows = 40

// earlierDelay is how late the only heartbeat of the earlier incarnation comes.
const earlierDelay = 7500 * time.Millisecond

// startReborn starts a target that crashes after 0.3 s and a new incarnation at its address, which it
// returns. The heartbeat of the first one is late in a run with the disruption.
func startReborn(options caseOptions) (*target, *sync.WaitGroup, error) {
	earlier, err := options.fleet.startTarget(0x7f3a9300, 161, zoneNames[1])
	if err != nil {
		return nil, nil, err
	}
	late := &sync.WaitGroup{}
	late.Add(1)
	go func() {
		defer late.Done()
		if options.trouble {
			earlier.beatLate(earlierDelay)
			return
		}
		earlier.beatOnce()
	}()
	time.Sleep(300 * time.Millisecond)
	earlier.end("crash")
	time.Sleep(100 * time.Millisecond)
	reborn, err := options.fleet.startTarget(0x7f3a9301, 161, zoneNames[1])
	if err != nil {
		return nil, nil, err
	}
	go reborn.beat()
	return reborn, late, nil
}

// leavingAddress is the case of an entry or a heartbeat that is not of a target that leaves, but has
// its address. One comes from another writer, and one, late, from an earlier incarnation.
func leavingAddress(options caseOptions) (verdict, error) {
	targets, client, err := startService(options, 4)
	if err != nil {
		return verdict{}, err
	}
	reborn, late, err := startReborn(options)
	if err != nil {
		return verdict{}, err
	}
	targets = append(targets, reborn)
	time.Sleep(touchBound + 200*time.Millisecond)
	flows, err := openLongFlows(options, client)
	if err != nil {
		return verdict{}, err
	}
	done := make(chan struct{}, len(flows))
	stop := time.Now().Add(12 * time.Second)
	for index, flow := range flows {
		go func() {
			flow.use(options.record, fmt.Sprintf("f-%02d", index), stop)
			done <- struct{}{}
		}()
	}
	leavers := []*target{targets[3], reborn}
	time.Sleep(300 * time.Millisecond)
	for _, leaver := range leavers {
		if _, err := leaver.leave(true); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(time.Second)
	if options.trouble {
		sendForeignEntry(options, leavers[0])
	}
	for range flows {
		<-done
	}
	late.Wait()
	served := 0
	var broken, atLeaver [2]int
	for _, flow := range flows {
		served += flow.served
		reset := errors.Is(flow.failure, errSystemReset) && flow.failedAt.Sub(flow.opened) < flowLimit
		for index, leaver := range leavers {
			if flow.owner != leaver.id {
				continue
			}
			atLeaver[index]++
			undisturbed := flow.failedAt.Sub(time.UnixMilli(leaver.born)) > touchBound
			if reset && undisturbed && !leaver.didReset(flow.flow.from) {
				broken[index]++
				options.record.line("FLOW: the flow of %s opened at %s, which lives and did not reset it, and was reset by the system", flow.flow.from, flow.owner)
			}
		}
	}
	for _, leaver := range leavers {
		leaver.end("it served on after its notice")
	}
	if atLeaver[0]+atLeaver[1] == 0 || served == 0 {
		return verdict{}, fmt.Errorf("%v flows opened at the leaving targets, and %d requests were served", atLeaver, served)
	}
	return verdict{broken: broken[0]+broken[1] > 0, text: fmt.Sprintf("FLOW: flows at leaving targets that the system reset and their targets did not: %d of %d where another writer's entry has the address, %d of %d where the late heartbeat of an earlier incarnation has it; %d requests served on %d flows", broken[0], atLeaver[0], broken[1], atLeaver[1], served, len(flows))}, nil
}

// sendForeignEntry sends an entry of another writer: it has an id and a service of its own that no
// configuration names, and the address of the machine on which the leaving target runs.
func sendForeignEntry(options caseOptions, leaver *target) {
	body, _ := json.Marshal(map[string]any{
		"service": undeclaredName, "address": leaver.address.String(), "zone": leaver.zone, "version": "v1",
		"capacity": 2, "state": "ready", "cold-remaining-ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	status, answer, err := call(http.MethodPut, options.fleet.members[0].at(controlPort), "/instances/w-00c0ffee", body)
	options.record.line("another writer: PUT /instances/w-00c0ffee: status %d, error %v, answer %s; sent %s", status, err, strings.TrimSpace(string(answer)), body)
}

func openLongFlows(options caseOptions, client *client) ([]*longFlow, error) {
	var flows []*longFlow
	for index := range longFlows {
		flow, err := client.open()
		if err != nil {
			return nil, fmt.Errorf("flow %d: %w", index, err)
		}
		answer, err := flow.exchange(fmt.Sprintf("f-%02d-0", index), 3*time.Second)
		if err != nil {
			return nil, fmt.Errorf("flow %d: %w", index, err)
		}
		flows = append(flows, &longFlow{flow: flow, owner: lastLine(answer), opened: time.Now(), served: 1})
		options.record.line("client: flow %d from %s opened at %s", index, flow.from, lastLine(answer))
	}
	return flows, nil
}

// use sends a request every 400 ms until a time, or until the flow ends.
func (long *longFlow) use(record *record, name string, stop time.Time) {
	for number := 1; time.Now().Before(stop); number++ {
		time.Sleep(400 * time.Millisecond)
		if _, err := long.flow.exchange(fmt.Sprintf("%s-%d", name, number), 3*time.Second); err != nil {
			long.failure, long.failedAt = err, time.Now()
			record.line("client: request %s-%d on the flow from %s at %s: %v", name, number, long.flow.from, long.owner, err)
			return
		}
		long.served++
	}
	long.flow.close()
}

// restartedLeaver is the case of targets that send their notice that they leave while their first
// heartbeat is late. One has restarted under its former id, and its notice tells its start. The other
// is new, and its notice is that of the PROTOCOL page's example, which has no body.
func restartedLeaver(options caseOptions) (verdict, error) {
	targets, client, err := startService(options, 4)
	if err != nil {
		return verdict{}, err
	}
	stop := make(chan struct{})
	load := client.startLoad(30, stop)
	time.Sleep(3 * time.Second)
	former := targets[3]
	former.end("crash")
	time.Sleep(100 * time.Millisecond)
	restarted, err := options.fleet.startTarget(former.number, 153, former.zone)
	if err != nil {
		return verdict{}, err
	}
	added, err := options.fleet.startTarget(0x7f3a9200, 160, zoneNames[0])
	if err != nil {
		return verdict{}, err
	}
	leavers := []*target{restarted, added}
	var late sync.WaitGroup
	for _, leaver := range leavers {
		if options.trouble {
			late.Add(1)
			go func() {
				defer late.Done()
				leaver.beatLate(heartbeatDelay)
			}()
		} else if !leaver.beatOnce() {
			return verdict{}, fmt.Errorf("the heartbeat of %s was not acknowledged", leaver.id)
		}
	}
	time.Sleep(600 * time.Millisecond)
	var acknowledged [2]time.Time
	for index, leaver := range leavers {
		if acknowledged[index], err = leaver.leave(leaver == restarted); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(drainBound + 5*time.Second)
	close(stop)
	load.waiting.Wait()
	late.Wait()
	var counts [2]int
	for index, leaver := range leavers {
		after := leaver.openingsAfter(acknowledged[index].Add(drainBound))
		counts[index] = len(after)
		for _, opening := range after {
			options.record.line("DRAIN: target %s took a flow of %s %d ms after the acknowledgement that it leaves", leaver.id, opening.caller, opening.at.Sub(acknowledged[index]).Milliseconds())
		}
		leaver.end("it served on after its notice")
	}
	if load.answered == 0 {
		return verdict{}, errors.New("no request was answered")
	}
	return verdict{broken: counts[0]+counts[1] > 0, text: fmt.Sprintf("DRAIN: flows that arrived later than %s after the acknowledgement that their target leaves: %d of %d at the restarted one, %d of %d at the new one; %s",
		drainBound, counts[0], len(restarted.openingsAfter(time.Time{})), counts[1], len(added.openingsAfter(time.Time{})), load.summary())}, nil
}

// heartbeatDelay is how late the first heartbeat of a target that leaves comes.
const heartbeatDelay = 3 * time.Second

// beatLate sends the first heartbeat, which reaches the member after a delay.
func (target *target) beatLate(delay time.Duration) {
	body := target.body()
	target.fleet.record.line("target %s: heartbeat 1 is on its way and late: %s", target.id, body)
	time.Sleep(delay)
	status, answer, err := call(http.MethodPut, target.fleet.members[0].at(controlPort), "/instances/"+target.id, body)
	target.fleet.record.line("target %s: heartbeat 1 arrives %s late: status %d, error %v, answer %s", target.id, delay, status, err, strings.TrimSpace(string(answer)))
}

// fractionalSeconds is the case of a change of the configuration to a cold start of a fractional
// number of seconds.
func fractionalSeconds(options caseOptions) (verdict, error) {
	fleet := options.fleet
	sent := fleet.config(7, map[string]any{"cold-start-s": 2.0, "cold-per-s": 8.0})
	if err := fleet.putConfig(sent); err != nil {
		return verdict{}, err
	}
	if options.trouble {
		sent = fleet.config(12, map[string]any{"cold-start-s": 4.1, "cold-per-s": 8.0})
		if err := fleet.putConfig(sent); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(touchBound)
	differing, read := 0, 0
	for _, member := range fleet.members {
		status, answer, err := call(http.MethodGet, member.at(controlPort), "/config", nil)
		options.record.line("operator: GET /config at %s: status %d, error %v, answer %s", member.address, status, err, strings.TrimSpace(string(answer)))
		if err != nil || status != http.StatusOK {
			continue
		}
		read++
		if !sameJSON(sent, answer) {
			differing++
			options.record.line("CONFIG: what is read back differs from what was sent under its number")
		}
	}
	if read == 0 {
		return verdict{}, errors.New("the configuration was not read")
	}
	return verdict{broken: differing > 0, text: fmt.Sprintf("CONFIG: %d of %d reads differ from the configuration that was acknowledged under the number read", differing, read)}, nil
}

// sameJSON reports whether an answer has the same values as a configuration.
func sameJSON(sent map[string]any, answer []byte) bool {
	body, err := json.Marshal(sent)
	if err != nil {
		return false
	}
	var expected, found any
	if json.Unmarshal(body, &expected) != nil || json.Unmarshal(answer, &found) != nil {
		return false
	}
	return reflect.DeepEqual(expected, found)
}

const (
	// catchUp and recoverBound are catch-up-s and recovery-s of the site dzn-riga.
	catchUp      = 4 * time.Second
	recoverBound = 12 * time.Second
)

// readBack reads the configuration from all members that are left, for 28 s longer than recovery-s at
// most. It returns the number of reads and whether one was answered with version 2.
func readBack(options caseOptions) (reads int, came bool) {
	for end := time.Now().Add(recoverBound + 28*time.Second); time.Now().Before(end) && !came; time.Sleep(500 * time.Millisecond) {
		for _, member := range options.fleet.members {
			if member.gone {
				continue
			}
			status, answer, err := call(http.MethodGet, member.at(controlPort), "/config", nil)
			options.record.line("operator: GET /config at %s: status %d, error %v, answer %s", member.address, status, err, strings.TrimSpace(string(answer)))
			reads++
			var found struct {
				Version int `json:"version"`
			}
			came = came || err == nil && status == http.StatusOK && json.Unmarshal(answer, &found) == nil && found.Version >= 2
		}
	}
	return reads, came
}

// secondLoss is the case of a disk that is lost after a lost machine has been replaced, while the open
// connections between the machines went silent once in between.
func secondLoss(options caseOptions) (verdict, error) {
	fleet := options.fleet
	if err := fleet.putConfig(fleet.config(1, nil)); err != nil {
		return verdict{}, err
	}
	if err := fleet.awaitReady(); err != nil {
		return verdict{}, err
	}
	time.Sleep(touchBound)
	taken, loser := fleet.members[0], fleet.members[1]
	takenAt := time.Now()
	fleet.kill(taken)
	time.Sleep(200 * time.Millisecond)
	successor := fleet.newMachine("member", 20, 0)
	successor.bootstrap = false
	if err := fleet.addProxy(successor); err != nil {
		return verdict{}, err
	}
	if err := fleet.start(successor); err != nil {
		return verdict{}, err
	}
	startedAt := time.Now()
	fleet.members = append(fleet.members, successor)
	if options.trouble {
		time.Sleep(time.Until(takenAt.Add(2600 * time.Millisecond)))
		options.record.line("%d open connections between machines go silent", fleet.silence())
	}
	time.Sleep(time.Until(startedAt.Add(catchUp + 200*time.Millisecond)))
	if err := fleet.putConfig(fleet.config(2, nil)); err != nil {
		return verdict{}, err
	}
	sinceStart := time.Since(startedAt)
	options.record.line("version 2 is acknowledged %s after the start of the successor", sinceStart)
	if err := fleet.loseDisk(loser); err != nil {
		return verdict{}, err
	}
	reads, came := readBack(options)
	text := fmt.Sprintf("the acknowledged configuration was read back: %t, after %d reads; the disk was lost %s after the start of the successor", came, reads, sinceStart.Round(time.Millisecond))
	return verdict{broken: !came, text: "CONFIG: " + text}, nil
}

// takeAway takes old machines away for good and waits until they have ended. By default all of them get
// SIGTERM at once. With "turn" they get it 1 s apart, and with "kill" two are killed 1 s apart.
func takeAway(fleet *fleet, former []*machine, how string) {
	var ended sync.WaitGroup
	for index, machine := range former {
		if index > 0 && how != "" {
			time.Sleep(time.Second)
		}
		if how == "kill" {
			if index < 2 {
				fleet.kill(machine)
			}
			continue
		}
		ended.Add(1)
		go func() {
			defer ended.Done()
			fleet.terminate(machine)
		}()
	}
	ended.Wait()
}

// replacedCore is the case of a core all of whose machines are replaced: the successors start first, and
// the old machines are taken away once the successors have had their time.
func replacedCore(options caseOptions) (verdict, error) {
	fleet := options.fleet
	if err := fleet.putConfig(fleet.config(1, nil)); err != nil {
		return verdict{}, err
	}
	if err := fleet.awaitReady(); err != nil {
		return verdict{}, err
	}
	time.Sleep(touchBound)
	former := slices.Clone(fleet.members)
	for index := range former {
		successor := fleet.newMachine("member", byte(20+index), index)
		successor.bootstrap = false
		if err := fleet.start(successor); err != nil {
			return verdict{}, err
		}
		fleet.members = append(fleet.members, successor)
	}
	startedAt := time.Now()
	time.Sleep(catchUp + 500*time.Millisecond)
	if err := fleet.putConfig(fleet.config(2, nil)); err != nil {
		return verdict{}, err
	}
	options.record.line("version 2 is acknowledged %s after the start of the successors", time.Since(startedAt))
	if options.trouble {
		takeAway(fleet, former, os.Getenv("TAKEN"))
	}
	reads, came := readBack(options)
	return verdict{broken: !came, text: fmt.Sprintf("CONFIG: the acknowledged configuration was read back: %t, after %d reads at the machines that are left", came, reads)}, nil
}

// otherZone is the case of a machine that is taken away without notice after its successor in another
// zone has had its time, and of one disk that is lost afterwards.
func otherZone(options caseOptions) (verdict, error) {
	fleet := options.fleet
	if err := fleet.putConfig(fleet.config(1, nil)); err != nil {
		return verdict{}, err
	}
	if err := fleet.awaitReady(); err != nil {
		return verdict{}, err
	}
	time.Sleep(touchBound)
	taken, loser := fleet.members[0], fleet.members[1]
	successor := fleet.newMachine("member", 20, 2)
	successor.bootstrap = false
	if err := fleet.start(successor); err != nil {
		return verdict{}, err
	}
	fleet.members = append(fleet.members, successor)
	time.Sleep(catchUp + 500*time.Millisecond)
	fleet.kill(taken)
	time.Sleep(time.Second)
	if err := fleet.putConfig(fleet.config(2, nil)); err != nil {
		return verdict{}, err
	}
	if options.trouble {
		if err := fleet.loseDisk(loser); err != nil {
			return verdict{}, err
		}
	}
	reads, came := readBack(options)
	return verdict{broken: !came, text: fmt.Sprintf("CONFIG: the acknowledged configuration was read back: %t, after %d reads", came, reads)}, nil
}
