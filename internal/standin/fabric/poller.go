package fabric

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"go.uber.org/zap"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/standin/platform"
)

const (
	// machineListTimeout bounds one request for the machine list.
	machineListTimeout = 2 * time.Second
	// maximumMachineListBytes bounds the body of the machine list.
	maximumMachineListBytes = 16 << 20
)

// Poller reads the platform's machine list at a fixed interval. When the list cannot be read, the
// previous one stays in use.
type Poller struct {
	url      string
	interval time.Duration
	client   *http.Client
	machines *Machines
	logger   *zap.Logger
	// onChange is called with the number of live balancers after each successful read, even when the
	// list is unchanged.
	onChange func(live int)
}

// NewPoller returns a poller of the platform whose base URL is base, such as
// "http://127.0.0.1:7000". It returns faults.FabricSettingsIncomplete when base cannot be parsed.
func NewPoller(base string, interval time.Duration, machines *Machines, logger *zap.Logger, onChange func(live int)) (*Poller, error) {
	joined, err := url.JoinPath(base, "machines")
	if err != nil {
		return nil, faults.New(faults.FabricSettingsIncomplete, "fabric.platform %q: %v", base, err)
	}
	return &Poller{
		url:      joined,
		interval: interval,
		client:   &http.Client{Timeout: machineListTimeout},
		machines: machines,
		logger:   logger,
		onChange: onChange,
	}, nil
}

// Run polls until ctx ends.
func (poller *Poller) Run(ctx context.Context) error {
	ticker := time.NewTicker(poller.interval)
	defer ticker.Stop()
	for {
		poller.poll(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (poller *Poller) poll(ctx context.Context) {
	list, err := poller.read(ctx)
	if err != nil {
		if ctx.Err() == nil {
			poller.logger.Debug("machine list not read", zap.Error(err))
		}
		return
	}
	poller.onChange(poller.machines.Replace(list))
}

func (poller *Poller) read(ctx context.Context) ([]platform.Machine, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, poller.url, nil)
	if err != nil {
		return nil, faults.New(faults.MachineListUnreadable, "%s: %v", poller.url, err)
	}
	answer, err := poller.client.Do(request)
	if err != nil {
		return nil, faults.New(faults.MachineListUnreadable, "%s: %v", poller.url, err)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return nil, faults.New(faults.MachineListUnreadable, "%s: status %d", poller.url, answer.StatusCode)
	}
	var list []platform.Machine
	body := io.LimitReader(answer.Body, maximumMachineListBytes)
	if err := json.NewDecoder(body).Decode(&list); err != nil {
		return nil, faults.New(faults.MachineListUnreadable, "%s: %v", poller.url, err)
	}
	return list, nil
}
