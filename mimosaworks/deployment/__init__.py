"""Configuration of a deployment: routes, services, models, workspaces."""

from mimosaworks.deployment.call import PromptPart, RequestProfile
from mimosaworks.deployment.deployment import Deployment, RequestLimits
from mimosaworks.deployment.engine import EngineConfig, EngineModel
from mimosaworks.deployment.route import RetryPolicy, ServiceRoute, ServiceShare
from mimosaworks.deployment.service import ServiceConfig
from mimosaworks.deployment.target import (
    ResidentModel,
    TargetEntry,
    TargetState,
)
from mimosaworks.deployment.workspace import Grant, WorkspaceConfig

__all__ = [
    'Deployment',
    'EngineConfig',
    'EngineModel',
    'Grant',
    'PromptPart',
    'RequestLimits',
    'RequestProfile',
    'ResidentModel',
    'RetryPolicy',
    'ServiceConfig',
    'ServiceRoute',
    'ServiceShare',
    'TargetEntry',
    'TargetState',
    'WorkspaceConfig',
]
