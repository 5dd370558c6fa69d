// Package merlinctl implements the operators' command line, a client of the administration API. It
// shows and changes templates, tenants, services and targets, waits until changes are in force, and
// manages the members of the control group and the configuration of direct services.
package merlinctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"merlinpaddle/internal/client"
	"merlinpaddle/internal/faults"
)

// tool has the streams, settings and client factory that all commands share.
type tool struct {
	input       io.Reader
	output      io.Writer
	errorOutput io.Writer
	settings    Settings
	// connect creates the client from the settings.
	connect func(Settings) (*client.Client, error)
}

// Execute runs the command line and returns the exit code of the process.
func Execute(arguments []string, input io.Reader, output, errorOutput io.Writer) int {
	tool := &tool{input: input, output: output, errorOutput: errorOutput, connect: connect}
	return tool.execute(arguments)
}

func (tool *tool) execute(arguments []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := tool.newRootCommand()
	root.SetArgs(arguments)
	root.SetIn(tool.input)
	root.SetOut(tool.output)
	root.SetErr(tool.errorOutput)
	command, err := root.ExecuteContextC(ctx)
	if err == nil {
		return ExitSuccess
	}
	tool.printError(command, err)
	return exitCodeOf(err)
}

// printError writes err with what the operator can do about it.
func (tool *tool) printError(command *cobra.Command, err error) {
	fmt.Fprintf(tool.errorOutput, "merlinctl: %v\n", err)
	if client.Code(err) == 0 && !errors.Is(err, errDeclined) {
		// Cobra's own errors, about unknown commands and wrong arguments, have no code.
		fmt.Fprintf(tool.errorOutput, "Usage: %s\n", command.UseLine())
	}
	if client.MayHaveRun(err) {
		fmt.Fprintln(tool.errorOutput, "The change may have been committed. Read the object before you send the change again.")
	}
	if definition, known := faults.Lookup(client.Code(err)); known && definition.Action != "" {
		fmt.Fprintf(tool.errorOutput, "What to do: %s\n", definition.Action)
	}
}

func (tool *tool) newRootCommand() *cobra.Command {
	var configuration string
	root := &cobra.Command{
		Use:           "merlinctl",
		Short:         "Operate the control group of merlinpaddle",
		Long:          rootHelp,
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(command *cobra.Command, _ []string) error {
			loaded, err := LoadSettings(configuration, command.Root().PersistentFlags())
			if err != nil {
				return err
			}
			tool.settings = loaded
			return nil
		},
	}
	flags := root.PersistentFlags()
	flags.StringVar(&configuration, configurationFlag, os.Getenv(environmentPrefix+"CONFIG"), "settings file (default: merlinctl/config.yaml in the user's configuration folder)")
	addSettingsFlags(flags)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return faults.New(faults.CodeUsage, "%v", err)
	})
	root.AddCommand(
		tool.getCommand(), tool.listCommand(), tool.applyCommand(), tool.deleteCommand(),
		tool.drainCommand(), tool.undrainCommand(), tool.waitCommand(), tool.rolloutCommand(),
		tool.membersCommand(), tool.backupCommand(), tool.restoreCommand(), tool.statusCommand(),
		tool.tokenCommand(), tool.explainCommand(), tool.directCommand(),
	)
	return root
}

const rootHelp = `Operate the control group of merlinpaddle.

Settings come from flags first, then from environment variables (MERLINCTL_ENDPOINTS,
MERLINCTL_TOKEN, MERLINCTL_TOKEN_FILE, MERLINCTL_AUTHORITY, ...), then from the
settings file.

Exit codes: 0 success; 1 internal error; 2 usage; 3 refused as invalid; 4 not
allowed; 5 not found; 6 conflict with another change; 7 unavailable, nothing was
changed; 8 outcome unknown; 9 the wait ended first; 10 declined.`

// client creates the client from the settings.
func (tool *tool) client() (*client.Client, error) { return tool.connect(tool.settings) }
