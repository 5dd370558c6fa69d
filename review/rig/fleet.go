package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports that every machine uses. All machines of a deployment have the same ports.
const (
	packetPort    = 18172
	readinessPort = 18167
	apiPort       = 18166
	firstInternal = 17720
	lastInternal  = 17735
	targetPort    = 18080
)

// The deployment: the zones, their region and the balancers in each zone are those of dzn-riga.
const region = "rix-metro"

var zones = []string{"rix-ziepnieks", "rix-purvciems", "rix-kengarags"}

var balancersInZone = []int{2, 3, 2}

// The bounds of the site file that the checks use.
const (
	heartbeat   = 1200 * time.Millisecond
	contactTime = 4 * time.Second
	drainTime   = 3 * time.Second
	flowMaxS    = 60
	idleTimeout = 15 * time.Second
)

// machine runs one process of the deploy file.
type machine struct {
	role    string
	zone    string
	address netip.Addr
	folder  string

	// joins means that the machine starts after the system, so that its file says that the system
	// does not start for the first time.
	joins bool

	lock    sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// fleet is the system under test.
type fleet struct {
	record    *record
	root      string
	folder    string
	network   [2]byte
	members   []*machine
	balancers []*machine
	// gone are the machines that were taken away.
	gone []*machine
}

// newFleet finds free addresses and prepares the machines without starting them.
func newFleet(record *record, root string) (*fleet, error) {
	folder, err := os.MkdirTemp("", "merlinpaddle-review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: record, root: root, folder: folder}
	for try := range 50 {
		number := (os.Getpid()*7 + try*131) % (100 * 250)
		f.network = [2]byte{byte(20 + number/250), byte(1 + number%250)}
		if f.addressesAreFree() {
			f.addMachines()
			return f, nil
		}
	}
	return nil, errors.New("no free loopback addresses were found")
}

// at returns the fleet's loopback address that ends with the given byte.
func (f *fleet) at(last byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, f.network[0], f.network[1], last})
}

// addressesAreFree reports whether nothing uses the ports at the addresses of members and balancers.
func (f *fleet) addressesAreFree() bool {
	for last := byte(10); last <= 22; last++ {
		for _, port := range []uint16{apiPort, readinessPort, firstInternal, lastInternal} {
			listener, err := net.Listen("tcp4", netip.AddrPortFrom(f.at(last), port).String())
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

func (f *fleet) addMachines() {
	last := byte(10)
	for _, zone := range zones {
		f.members = append(f.members, f.newMachine("member", zone, last))
		last++
	}
	for index, zone := range zones {
		for range balancersInZone[index] {
			f.balancers = append(f.balancers, f.newMachine("balancer", zone, last))
			last++
		}
	}
}

func (f *fleet) newMachine(role, zone string, last byte) *machine {
	address := f.at(last)
	return &machine{role: role, zone: zone, address: address, folder: filepath.Join(f.folder, fmt.Sprintf("%s-%d", role, last))}
}

// seedCount is the number of seeds in a settings file.
const seedCount = 3

// addMember adds a machine of the core with an empty disk; it is not started.
func (f *fleet) addMember(zone string) *machine {
	added := f.newMachine("member", zone, byte(20+len(f.members)+len(f.gone)-len(zones)))
	added.joins = true
	f.members = append(f.members, added)
	return added
}

// takeAway removes a machine from the list of the operator, from which seeds are taken, and leaves
// its process as it is.
func (f *fleet) takeAway(gone *machine) {
	f.gone = append(f.gone, gone)
	f.members = slices.DeleteFunc(f.members, func(m *machine) bool { return m == gone })
}

// loseDisk kills the machine's process, empties its disk and starts it again with a file that says
// that the system does not start for the first time.
func (f *fleet) loseDisk(m *machine) error {
	m.kill()
	if err := os.RemoveAll(filepath.Join(m.folder, "data")); err != nil {
		return err
	}
	m.joins = true
	if err := f.writeSettings(m); err != nil {
		return err
	}
	return f.launch(m)
}

// machines returns all machines.
func (f *fleet) machines() []*machine {
	return slices.Concat(f.members, f.balancers, f.gone)
}

// seeds returns the control-plane addresses of the members.
func (f *fleet) seeds() []string {
	var seeds []string
	for _, member := range f.members {
		seeds = append(seeds, netip.AddrPortFrom(member.address, apiPort).String())
	}
	return seeds
}

// start starts all machines and waits until a member and all balancers serve.
func (f *fleet) start() error {
	for _, m := range f.machines() {
		if err := f.writeSettings(m); err != nil {
			return err
		}
		if err := f.launch(m); err != nil {
			return err
		}
	}
	return nil
}

// dataFolder matches the line with the data folder, which must not be one folder for all machines
// of this box.
var dataFolder = regexp.MustCompile(`(?m)^data_folder:.*$`)

// writeSettings fills the template of the machine's role, as the platform does.
func (f *fleet) writeSettings(m *machine) error {
	template, err := os.ReadFile(filepath.Join(f.root, "deploy", "templates", m.role+".yaml"))
	if err != nil {
		return err
	}
	data := filepath.Join(m.folder, "data")
	if err := os.MkdirAll(data, 0o750); err != nil {
		return err
	}
	at := func(port uint16) string { return netip.AddrPortFrom(m.address, port).String() }
	zoneRegions := make(map[string]string, len(zones))
	for _, zone := range zones {
		zoneRegions[zone] = region
	}
	known := fields{
		values: map[string]string{
			"ip": m.address.String(), "zone": m.zone, "region": region, "data-dir": data, "bootstrap": fmt.Sprint(!m.joins),
			"heartbeat-ms": fmt.Sprint(heartbeat.Milliseconds()), "internal-ports.0": fmt.Sprint(firstInternal), "internal-ports.1": fmt.Sprint(lastInternal),
			"bind-addrs.datagram-addr": at(packetPort), "bind-addrs.readiness": at(readinessPort), "bind-addrs.control-plane": at(apiPort),
			"limits.link-mbps": "1000.0", "bounds.flow-max-s": fmt.Sprint(flowMaxS),
			"fault-tolerance.machines": "1", "fault-tolerance.zones": "0",
		},
		lists:  map[string][]string{"seeds": f.seeds()[:min(seedCount, len(f.members))]},
		tables: map[string]map[string]string{"zones": zoneRegions},
	}
	settings, err := known.fill(string(template))
	if err != nil {
		return err
	}
	settings = dataFolder.ReplaceAllLiteralString(settings, "data_folder: \""+data+"\"")
	return os.WriteFile(m.settingsPath(), []byte(settings), 0o600)
}

func (m *machine) settingsPath() string { return filepath.Join(m.folder, "settings.yaml") }

func (m *machine) logPath() string { return filepath.Join(m.folder, "log") }

// launch starts the machine's process with the command of the deploy file.
func (f *fleet) launch(m *machine) error {
	log, err := os.OpenFile(m.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(filepath.Join(f.root, "target", "merlinplatform"), m.role)
	command.Dir = f.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.folder, "MERLINPADDLE_BOOT=" + m.settingsPath()}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.lock.Lock()
	m.command, m.ended = command, ended
	m.lock.Unlock()
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	return nil
}

// terminate sends SIGTERM, waits at most the grace of the platform, and kills what is left.
func (m *machine) terminate() {
	m.lock.Lock()
	command, ended := m.command, m.ended
	m.lock.Unlock()
	_ = command.Process.Signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(6 * time.Second):
		_ = command.Process.Kill()
		<-ended
	}
}

// kill kills the process, if one was started, and waits for its end.
func (m *machine) kill() {
	m.lock.Lock()
	command, ended := m.command, m.ended
	m.lock.Unlock()
	if command != nil {
		_ = command.Process.Kill()
		<-ended
	}
}

// stop ends all processes and removes the folder.
func (f *fleet) stop() {
	for _, m := range f.machines() {
		m.kill()
	}
	_ = os.RemoveAll(f.folder)
}

// ready asks the machine's readiness address once.
func (m *machine) ready() bool {
	client := http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + netip.AddrPortFrom(m.address, readinessPort).String() + "/readyz")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// noteLogs copies the log lines of the members that contain one of the words to the record.
func (f *fleet) noteLogs(words ...string) {
	for _, m := range slices.Concat(f.members, f.gone) {
		content, err := os.ReadFile(m.logPath())
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(content)) {
			for _, word := range words {
				if strings.Contains(line, word) {
					f.record.note("log of the member %s: %s", m.address, strings.TrimSpace(line))
					break
				}
			}
		}
	}
}

// await waits until condition holds.
func await(limit time.Duration, what string, condition func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("not within %s: %s", limit, what)
}
