package command

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"savoryfall/core/annotate"
	"savoryfall/core/loganalysis"
)

func init() { register(logsCommand) }

func logsCommand(s streams) *ffcli.Command {
	explain := &ffcli.Command{
		Name: "explain", ShortUsage: "savoryfall logs explain ID FILE...", ShortHelp: "explain what happened to a request, and why",
		FlagSet: newFlags("logs explain", s), LongHelp: helpPage("logs"),
		Exec: func(_ context.Context, args []string) error { return explainLogs(s, args) },
	}
	flags := newFlags("logs report", s)
	rowSpan := flags.Duration("span", time.Second, "the time span that a row covers")
	plotFile := flags.String("plot", "", "also plot the table to this PNG file")
	report := &ffcli.Command{
		Name: "report", ShortUsage: "savoryfall logs report [--span 1s] [--plot FILE] FILE...",
		ShortHelp: "count the requests that were not served, by cause over time", FlagSet: flags, LongHelp: helpPage("logs"),
		Exec: func(_ context.Context, args []string) error { return reportLogs(s, args, *rowSpan, *plotFile) },
	}
	return &ffcli.Command{
		Name: "logs", ShortUsage: "savoryfall logs explain|report ...", ShortHelp: "analyze the logs of savoryfall entry",
		FlagSet: newFlags("logs", s), LongHelp: helpPage("logs"), Subcommands: []*ffcli.Command{explain, report}, Exec: noSubcommand,
	}
}

func readLogs(files []string) (l *loganalysis.Log, err error) {
	if len(files) == 0 {
		return nil, usageError{message: "missing log file"}
	}
	l = &loganalysis.Log{}
	for _, file := range files {
		err = readLog(l, file)
		if err != nil {
			return nil, err
		}
	}
	return l, nil
}

func readLog(l *loganalysis.Log, file string) (err error) {
	defer annotate.Error(&err, "%s", file)
	f, err := os.Open(file)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return l.Read(f)
}

func explainLogs(s streams, args []string) (err error) {
	if len(args) < 2 {
		return usageError{message: "expected a request ID and at least one log file"}
	}
	l, err := readLogs(args[1:])
	if err != nil {
		return err
	}
	lines := l.Explain(args[0])
	if len(lines) == 0 {
		return fmt.Errorf("none of %d log lines mentions request %s: it was served at the first try, or its line was dropped", l.Len(), args[0])
	}
	for _, line := range lines {
		err = printLine(s, line)
		if err != nil {
			return err
		}
	}
	return nil
}

// printLine prints the log line verbatim, followed by its explanation.
func printLine(s streams, line loganalysis.Line) (err error) {
	_, err = fmt.Fprintln(s.out, line.Text)
	for _, sentence := range line.Explanation {
		if err == nil {
			_, err = fmt.Fprintln(s.out, "  "+sentence)
		}
	}
	return err
}

func reportLogs(s streams, args []string, rowSpan time.Duration, plotFile string) (err error) {
	if rowSpan <= 0 {
		return usageError{message: "--span must be above 0"}
	}
	l, err := readLogs(args)
	if err != nil {
		return err
	}
	buckets, causes := l.Report(rowSpan)
	err = printReport(s, buckets, causes)
	if err != nil || plotFile == "" {
		return err
	}
	return plotReport(plotFile, buckets, causes)
}

func printReport(s streams, buckets []loganalysis.Bucket, causes []loganalysis.Cause) (err error) {
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "from\t")
	for _, c := range causes {
		fmt.Fprint(w, c, "\t")
	}
	fmt.Fprintln(w)
	for _, b := range buckets {
		fmt.Fprint(w, b.Start.Format("15:04:05.000"), "\t")
		for _, c := range causes {
			fmt.Fprint(w, strconv.Itoa(b.Counts[c]), "\t")
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}

// The size of the plot.
const (
	plotWidth  = 10 * vg.Inch
	plotHeight = 4 * vg.Inch
)

func plotReport(file string, buckets []loganalysis.Bucket, causes []loganalysis.Cause) (err error) {
	defer annotate.Error(&err, "plot %s", file)
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "seconds", "requests not served"
	var lines []any
	for _, c := range causes {
		points := make(plotter.XYs, len(buckets))
		for i, b := range buckets {
			points[i] = plotter.XY{X: b.Start.Sub(buckets[0].Start).Seconds(), Y: float64(b.Counts[c])}
		}
		lines = append(lines, string(c), points)
	}
	err = plotutil.AddLines(p, lines...)
	if err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, file)
}
