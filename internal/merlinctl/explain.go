package merlinctl

import (
	"fmt"
	"io"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"merlinpaddle/internal/explain"
	"merlinpaddle/internal/faults"
)

const explainHelp = `Print in order what balancers and members logged about one flow of a direct
service, and the cause of its outcome. FLOW is the caller's address and port.
If TARGET is given instead, the number of a target's incarnation in hex, the
events of that target are printed. LOG is a file with the structured lines that
the processes write to standard output, or "-" for standard input. No member is
contacted.`

func (tool *tool) explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain FLOW|TARGET LOG...",
		Short: "Explain from log lines what happened to a flow or a target",
		Long:  explainHelp,
		Args:  cobra.MinimumNArgs(2),
		// The command reads files only, so no settings are loaded.
		PersistentPreRunE: func(*cobra.Command, []string) error { return nil },
		RunE: func(_ *cobra.Command, arguments []string) error {
			return tool.explainFlowOrTarget(arguments[0], arguments[1:])
		},
	}
}

// explainFlowOrTarget prints the events and the cause of the outcome of a flow, if subject is an
// address and port, or of a target, if it is a hex number. A prefix of the number up to its last "-"
// is ignored.
func (tool *tool) explainFlowOrTarget(subject string, paths []string) error {
	_, flowError := netip.ParseAddrPort(subject)
	target, targetError := strconv.ParseUint(subject[strings.LastIndex(subject, "-")+1:], 16, 64)
	if flowError != nil && targetError != nil {
		return faults.New(faults.CodeUsage, "%q is neither an address and port nor the hex number of a target", subject)
	}
	var lines []explain.Line
	for _, path := range paths {
		read, err := tool.readLog(path)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	explanation := explain.Target(lines, target)
	if flowError == nil {
		explanation = explain.Flow(lines, subject)
	}
	for _, event := range explanation.Events {
		fmt.Fprintf(tool.output, "%s  %-24s  %s\n", event.At.Format(time.RFC3339Nano), event.Node, event.Text)
	}
	fmt.Fprintf(tool.output, "%s\n", explanation.Cause)
	return nil
}

func (tool *tool) readLog(path string) ([]explain.Line, error) {
	if path == "-" {
		return explain.Read(tool.input)
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, faults.New(faults.LogUnreadable, "%v", err)
	}
	defer file.Close()
	return explain.Read(io.Reader(file))
}
