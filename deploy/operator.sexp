; The operators' own settings. Every name is optional; the values here are the defaults.
(dunehold
  ; -- leadership: a shorter lease means a quicker takeover and more state requests
  (leader-lease-s 3.0)
  (leader-renew-s 0.8)
  ; -- placement
  (schedule-interval-s 0.1)   ; least time between two plans
  (reservation 1)             ; how many heads of the list have room held for them
  (backfill 1)                ; 0 switches a part of MEASY off, for comparison
  (background 1)
  (lifting 1)
  (move-budget 4)             ; moves from checkpoints in one plan
  (preemption 1)
  (direct-commands 1)         ; 0: commands ride in report responses only
  (sick-after-errors 2)       ; errors in a row that quarantine a machine
  ; -- state service
  (pack-submissions 1)        ; 1: jobs that wait for the write budget share keys
  ; -- network
  (bind-outgoing 0)           ; 1: connections go out from the address of `bind`
  ; -- fleet
  (spot-allowed 1)
  (idle-reserve-share 0.06)   ; that work of the lowest rank leaves free while others come
  (headroom-share 0.1)        ; kept beyond the most CPUs wanted lately
  (demand-memory-s 40)        ; how long "lately" is
  (idle-return-s 20)          ; idle this long before a machine may be returned
  (silent-return-s 45)        ; a machine that says nothing this long is returned
  (boot-patience 4)           ; in boot times of its type
  (capacity-retry-s 20))      ; after a refusal, before the same kind is asked for again
