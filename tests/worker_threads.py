"""Threads that put load on a running installation."""

import threading


class WorkerThreads:
    """Runs each action in a thread; sets `stopping` when the block is left."""

    def __init__(self, actions):
        self.stopping = threading.Event()
        self.lock = threading.Lock()
        self.threads = [threading.Thread(target=action) for action in actions]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *exception):
        self.stopping.set()
        for thread in self.threads:
            thread.join()
