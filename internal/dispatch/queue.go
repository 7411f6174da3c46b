package dispatch

import (
	"google.golang.org/protobuf/proto"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/events"
	"chervilridge/internal/operatorconfig"
)

// bindQueues gives each job the settings of its queue in the newest configuration. While a
// configuration has the queue of a job, by its name, its settings hold, also if the queue was
// missing before. Once the queue is missing, the job keeps the settings last known, which are
// stored with it.
//
// A job of an older process has no stored settings until a configuration has its queue. It is
// kept until then, but nothing of it starts, and a log line says so.
func (e *Engine) bindQueues() {
	config := e.config()
	if config == nil || config == e.boundConfig {
		return
	}
	e.boundConfig = config
	for id, en := range e.activeJobs {
		if !en.job.Ended() {
			e.bindQueue(id, en)
		}
	}
}

// bindQueue is bindQueues for one job.
func (e *Engine) bindQueue(id string, en *jobEntry) {
	bound := en.job.Spec.QueueSettings
	settings := e.configuredSettings(en.job.Spec)
	if settings == nil && en.queue == nil && !en.queueUnknown {
		en.queueUnknown = true
		events.JobQueueUnknown.Log("job", id, "queue", en.job.Spec.Queue, "config", e.boundConfig.Version, "epoch", e.Epoch())
	}
	if settings == nil || proto.Equal(settings, bound) {
		return
	}
	spec := proto.CloneOf(en.job.Spec) // callers may still read the old one
	spec.QueueSettings = settings
	en.job.Spec, en.queue, en.queueUnknown = spec, storedQueue(spec), false
	events.JobQueueChanged.Log("job", id, "queue", spec.Queue, "from", bound.GetConfigVersion(), "config", settings.ConfigVersion,
		"service", settings.Service, "maxAttempts", settings.MaxAttempts, "epoch", e.Epoch())
	if effect := en.job.FailExhausted(en.queue.MaxAttempts, e.wall().UnixMilli()); effect.Changed {
		e.orderStops(effect.RunsToStop, "job failed")
		events.JobEnded.Log("job", id, "phase", en.job.Phase, "queue", spec.Queue, "cause", "a task has failed as often as its queue allows now")
	}
	e.batch.changedSpecs[id] = true
	e.markDirty(id, en)
}

// configuredSettings returns the settings of a job's queue in the newest configuration, or nil
// if that lacks the queue or is older than the settings bound to the job. Settings that are
// equal to the bound ones keep their version.
func (e *Engine) configuredSettings(spec *chervilv2.JobSpec) *chervilv2.QueueSettings {
	config := e.config()
	if config == nil {
		return nil
	}
	queue, bound := config.Queue(spec.Queue), spec.QueueSettings
	if queue == nil || bound.GetConfigVersion() > config.Version {
		return nil
	}
	settings := queue.Settings()
	settings.ConfigVersion = bound.GetConfigVersion()
	if bound == nil || !proto.Equal(settings, bound) {
		settings.ConfigVersion = config.Version
	}
	return settings
}

// config returns the newest configuration, or nil if there is none yet.
func (e *Engine) config() *operatorconfig.Config {
	if view := e.operatorView(); view != nil {
		return view.Config
	}
	return nil
}

// storedQueue returns the queue of a job with the settings bound to it, or nil if none are.
func storedQueue(spec *chervilv2.JobSpec) *operatorconfig.Queue {
	if spec.QueueSettings == nil {
		return nil
	}
	return operatorconfig.RestoreQueue(spec.Queue, spec.QueueSettings)
}
