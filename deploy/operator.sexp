; The operators' settings. Every setting is optional; the values here are the defaults.
(dunehold
  ; -- leadership (seconds): a shorter lease means a faster takeover and more state requests
  (leader-lease-s 3.0)
  (leader-renew-s 0.8)
  (blocked-log-s 0.25)        ; work that holds up the event loop for this long is logged
  ; -- placement
  (schedule-interval-s 0.1)   ; minimum time between two plans
  (reservation 1)             ; number of jobs at the head of the queue that get a reservation
  (backfill 1)                ; backfill, background, lifting: 0 switches that part of the
                              ; scheduling algorithm (MEASY) off, for comparison
  (background 1)
  (lifting 1)
  (move-budget 4)             ; most tasks that one plan moves by means of their checkpoints
  (preemption 1)
  (direct-commands 1)         ; 0: commands are sent only in the responses to reports
  (sick-after-errors 2)       ; failures of tasks since the last success that quarantine a machine;
                              ; those of jobs that fail on every machine do not count
  ; -- state service
  (pack-submissions 1)        ; 1: jobs that wait for the write rate limit share keys
  ; -- network
  (bind-outgoing 0)           ; 1: outgoing connections use the address of `bind`
  ; -- fleet
  (spot-allowed 1)
  (idle-reserve-share 0.06)   ; maximum share of the CPUs that jobs of the lowest priority leave
                              ; free, so that other jobs start at once
  (headroom-share 0.1)        ; CPUs kept beyond the recent peak demand, as a share of it
  (demand-memory-s 40)        ; how long a peak of demand counts as recent
  (idle-return-s 20)          ; time for which a machine is idle before it may be returned
  (silent-return-s 45)        ; a machine without a report for this time may be returned
  (boot-patience 4)           ; boot times of its type after which a machine is given up
  (capacity-retry-s 20))      ; wait until a type, zone and kind that the cloud lacked is tried again
