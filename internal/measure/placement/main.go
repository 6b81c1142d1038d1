// Command placement measures the placement policy on simulated days with
// changing demand. It prints Markdown tables of skew, bytes moved and map
// changes, and draws the trade-off between skew and bytes moved.
package main

import (
	"os"
	"runtime/debug"

	"github.com/jessevdk/go-flags"
	"k8s.io/klog/v2"
)

// options are the command line flags.
type options struct {
	Small    bool   `long:"small" description:"run the days of 16 ranks and 64 experts"`
	Large    bool   `long:"large" description:"run the days of 32 ranks, 128 experts and 60 layers"`
	Forecast bool   `long:"forecast" description:"run days with shares that are known ahead"`
	Outage   bool   `long:"outage" description:"run the day with an outage of the weight store"`
	Shifts   bool   `long:"shifts" description:"run days whose demand shifts every few seconds, on groups of several sizes"`
	Plot     string `long:"plot" description:"draw the trade-off curve into this SVG file"`
	Workers  int    `long:"workers" default:"3" description:"simulated days to run at once"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := measure(o); err != nil {
		klog.ErrorS(err, "placement: measurement failed")
		os.Exit(1)
	}
}

// measure runs the measurements that the options select.
func measure(o options) error {
	debug.SetGCPercent(400)
	if o.Small {
		if err := measureDays(os.Stdout, smallGroup, o.Workers); err != nil {
			return err
		}
	}
	if o.Large {
		if err := measureDays(os.Stdout, largeGroup, o.Workers); err != nil {
			return err
		}
	}
	if o.Outage {
		if err := measureOutage(os.Stdout, o.Workers); err != nil {
			return err
		}
	}
	if o.Forecast {
		if err := measureForecast(os.Stdout, o.Workers); err != nil {
			return err
		}
	}
	if o.Shifts {
		if err := measureShifts(os.Stdout, o.Workers); err != nil {
			return err
		}
	}
	if o.Plot != "" {
		return measureTradeOff(os.Stdout, o.Plot, o.Workers)
	}
	return nil
}
