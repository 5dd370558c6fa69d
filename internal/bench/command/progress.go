package command

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/schollz/progressbar/v3"
	"golang.org/x/term"
)

// barSteps is the number of steps of a full progress bar.
const barSteps = 1000

// progress shows the progress of an experiment: as a bar on a terminal, elsewhere as one line whenever
// the text changes.
type progress struct {
	name       string
	output     io.Writer
	bar        *progressbar.ProgressBar
	latestText string
}

func newProgress(output io.Writer, name string) *progress {
	created := &progress{name: name, output: output}
	if file, isFile := output.(*os.File); isFile && term.IsTerminal(int(file.Fd())) {
		created.bar = progressbar.NewOptions(barSteps,
			progressbar.OptionSetWriter(output),
			progressbar.OptionSetWidth(30),
			progressbar.OptionSetPredictTime(false),
			progressbar.OptionThrottle(200*time.Millisecond),
		)
	}
	return created
}

func (progress *progress) show(done, total time.Duration, text string) {
	if progress.bar != nil {
		progress.bar.Describe(fmt.Sprintf("%s %3.0f s: %s", progress.name, done.Seconds(), text))
		_ = progress.bar.Set(int(barSteps * done / max(total, 1)))
		return
	}
	if text != progress.latestText {
		progress.latestText = text
		fmt.Fprintf(progress.output, "%s %3.0f of %3.0f s: %s\n", progress.name, done.Seconds(), total.Seconds(), text)
	}
}

func (progress *progress) finish() {
	if progress.bar != nil {
		_ = progress.bar.Exit()
		fmt.Fprintln(progress.output)
	}
}
